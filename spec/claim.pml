/* At-most-once execution with an idempotency key (dispatch/claim.h,
   storage/claim_store.h): two routers receive a request with the same key.
   Each reads the row, claims it if it is free or released, and sends the
   request only after it has read its own operation id in the row. The answers
   of the table service may be lost after the write took effect; routers may
   pause anywhere and give up. Safety: the target runs the request at most once;
   a request that was refused as `not run` has not run.

   Mutations (each must fail):
   NO_CONDITION       a claim is written without comparing the row's version;
   SEND_BEFORE_CLAIM  the request is sent before the claim is written;
   REASSIGN           a claim of the other router is overwritten. */

#define FREE 0
#define DONE 9
#define RELEASED 8

byte row = FREE;        /* FREE, RELEASED, DONE or the operation id 1..2 */
byte version = 0;
byte runs = 0;
bool refused_as_not_run[3];
bool has_sent[3];

proctype Router(byte id) {
  byte read_row, read_version;
  byte rounds = 0;       /* reads of the row; at most 3 */
#ifdef SEND_BEFORE_CLAIM
  atomic { runs++; has_sent[id] = true; assert(runs <= 1) }
#endif
  do
  :: rounds < 3 ->
       rounds++;
       /* Read: TableClient::Read. */
       atomic { read_row = row; read_version = version };
       if
       :: read_row == DONE -> break               /* repeat the outcome */
       :: read_row == id ->                       /* own claim: send once */
            atomic { runs++; has_sent[id] = true;
                     assert(runs <= 1);
                     assert(!refused_as_not_run[id]) };
            if
            :: atomic { row == id -> row = DONE; version++ }
            :: true -> skip                       /* crashed before storing */
            fi;
            break
       :: read_row == FREE || read_row == RELEASED ->
            if
            :: atomic { 
#ifdef NO_CONDITION
                 true ->
#else
                 version == read_version ->
#endif
                 row = id; version++ }            /* the answer may be lost */
            :: true -> skip                       /* lost before the write */
            fi
       :: else ->
#ifdef REASSIGN
            atomic { version == read_version -> row = id; version++ }
#else
            break                                 /* in progress elsewhere */
#endif
       fi
  :: rounds >= 3 || rounds > 0 ->
       /* Give up without sending: ClaimStore::Release, then `not run`. */
       if
       :: atomic { row == id && !has_sent[id] -> row = RELEASED; version++ }
       :: atomic { row != id -> skip }
       :: atomic { row == id && has_sent[id] -> skip }
       fi;
       atomic { 
         if
         :: !has_sent[id] -> refused_as_not_run[id] = true
         :: else -> skip
         fi };
       break
  od
}

init { atomic { run Router(1); run Router(2) } }
