/* At most once with an idempotency key (dispatch/claim.h, platform/
   claim_store.h): two routers get the same key. Each reads the row, writes a
   claim if it may, and sends only if it has read its own operation id in the
   row. Answers of the table service are lost after the effect; routers pause
   anywhere and give up. Safety: the target runs the request at most once; a
   refusal that says `not run` is true.

   Mutations (each must fail): NO_CONDITION, SEND_BEFORE_CLAIM, REASSIGN. */

#define FREE 0
#define DONE 9
#define RELEASED 8

byte row = FREE;        /* FREE, RELEASED, DONE or the operation id 1..2 */
byte version = 0;
byte runs = 0;
bool said_not_run[3];
bool has_sent[3];

proctype Router(byte id) {
  byte seen_row, seen_version;
  byte rounds = 0;
#ifdef SEND_BEFORE_CLAIM
  atomic { runs++; has_sent[id] = true; assert(runs <= 1) }
#endif
  do
  :: rounds < 3 ->
       rounds++;
       /* Read: TableClient::Read. */
       atomic { seen_row = row; seen_version = version };
       if
       :: seen_row == DONE -> break               /* repeat the outcome */
       :: seen_row == id ->                       /* own claim: send once */
            atomic { runs++; has_sent[id] = true;
                     assert(runs <= 1);
                     assert(!said_not_run[id]) };
            if
            :: atomic { row == id -> row = DONE; version++ }
            :: true -> skip                       /* died before storing */
            fi;
            break
       :: seen_row == FREE || seen_row == RELEASED ->
            if
            :: atomic { 
#ifdef NO_CONDITION
                 true ->
#else
                 version == seen_version ->
#endif
                 row = id; version++ }            /* effect, answer or not */
            :: true -> skip                       /* lost before the effect */
            fi
       :: else ->
#ifdef REASSIGN
            atomic { version == seen_version -> row = id; version++ }
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
         :: !has_sent[id] -> said_not_run[id] = true
         :: else -> skip
         fi };
       break
  od
}

init { atomic { run Router(1); run Router(2) } }
