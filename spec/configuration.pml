/* The sequence of configuration versions (storage/configuration_store.h): two
   operators submit at the same time, an answer may be lost, a router follows
   the head. Safety: a version is written once; a submission that was reported
   as `accepted` is in it, one that was reported as `conflict` is not;
   the version in force at a router never decreases. Liveness: without further
   faults every router reaches the head.

   Mutations (each must fail):
   NO_CONDITION  a version is written without comparing the head;
   NO_READ_BACK  a lost answer is reported as a conflict;
   BACKWARDS     a router applies an older version. */

#define VERSIONS 3

byte head = 0;
byte change[4];          /* operation id at each version; 0 is none */
byte in_force = 0;
byte reported[3];        /* to the operator: 1 accepted, 2 conflict */
byte reported_version[3];

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
  :: answered && committed -> reported[id] = 1; reported_version[id] = base + 1
  :: answered && !committed -> reported[id] = 2
  :: else ->
#ifdef NO_READ_BACK
       reported[id] = 2
#else
       /* FindAccepted: read the row back and look for the operation id. */
       atomic {
         if
         :: change[base + 1] == id -> reported[id] = 1;
                                      reported_version[id] = base + 1
         :: else -> reported[id] = 2
         fi }
#endif
  fi;
  atomic {
    assert(reported[id] != 1 || change[reported_version[id]] == id);
    assert(reported[id] != 2 || change[base + 1] != id) }
}

proctype Follower() {
  byte read, before;     /* head that was read; version in force before */
  do
  :: atomic { read = head };
#ifdef BACKWARDS
     /* Applies an older version that a delayed message of a peer brings. */
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
