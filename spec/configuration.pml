/* The version chain (platform/configuration_store.h): two operators race, an
   answer may be lost, a router follows. Safety: a version is written once; a
   submission that was told `accepted` is in the chain, one that was told
   `conflict` is not; a router never goes back. Liveness: with no more faults
   every router reaches the head.

   Mutations (each must fail): NO_CONDITION, NO_READ_BACK, BACKWARDS. */

#define VERSIONS 3

byte head = 0;
byte change[4];          /* operation id at each version; 0 is none */
byte in_force = 0;
byte told[3];            /* 1 accepted, 2 conflict */
byte told_version[3];

proctype Operator(byte id) {
  byte base;
  bool answered;
  bool committed = false;
  atomic { base = head; base < VERSIONS - 1 -> skip };
  /* Transact on the condition that the head has not moved. */
  atomic {
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: head == base ->
#endif
         assert(change[base + 1] == 0);
         head = base + 1; change[base + 1] = id; committed = true
    :: head != base -> skip
    fi;
    if
    :: answered = true
    :: answered = false
    fi
  };
  if
  :: answered && committed -> told[id] = 1; told_version[id] = base + 1
  :: answered && !committed -> told[id] = 2
  :: else ->
#ifdef NO_READ_BACK
       told[id] = 2
#else
       /* FindAccepted: read the row back and look for the operation id. */
       atomic {
         if
         :: change[base + 1] == id -> told[id] = 1; told_version[id] = base + 1
         :: else -> told[id] = 2
         fi }
#endif
  fi;
  atomic {
    assert(told[id] != 1 || change[told_version[id]] == id);
    assert(told[id] != 2 || change[base + 1] != id) }
}

proctype Follower() {
  byte read, before;
  do
  :: atomic { read = head };
#ifdef BACKWARDS
     /* Takes what a late peer sends. */
     atomic { if :: read = 0 :: skip fi };
     atomic { before = in_force; in_force = read; assert(in_force >= before) }
#else
     atomic { before = in_force;
              if :: read > in_force -> in_force = read :: else -> skip fi;
              assert(in_force >= before) }
#endif
  od
}

init { atomic { run Operator(1); run Operator(2); run Follower() } }

#ifndef SAFETY_ONLY
ltl reaches_head { <>[] (in_force == head) }
#endif
