/* Orders to a target under a fencing lease: two routers hold the order lease
   of a target one after the other; a holder may be paused past its lease. A
   target that checks fencing numbers refuses an older one; one that does not
   is only ordered after the old lease has run out and its state was read
   back. Safety: the target ends in the state of the newest order.

   Mutations (each must fail): NO_FENCE_CHECK, NO_WAIT. */

byte fence = 0;           /* highest number given by the table service */
byte target_fence = 0;
byte target_state = 0;    /* number of the order that it carries out */
byte newest_order = 0;
byte sent = 0;
bool lease_free = true;

proctype Router() {
  byte mine;
  /* The lease row gives a new number with each holder. */
  atomic { lease_free -> lease_free = false; fence++; mine = fence };
  if
  :: true ->                    /* in time */
       atomic { 
#ifndef NO_FENCE_CHECK
         if
         :: mine >= target_fence ->
#endif
              target_fence = mine; target_state = mine;
              if
              :: mine > newest_order -> newest_order = mine
              :: else -> skip
              fi
#ifndef NO_FENCE_CHECK
         :: else -> skip
         fi
#endif
       };
       lease_free = true
  :: true ->                    /* paused: the lease lapses, then it goes on */
       lease_free = true;
#ifdef NO_WAIT
       skip;
#endif
       atomic {
#ifndef NO_FENCE_CHECK
#ifndef NO_WAIT
         if
         :: mine >= target_fence ->
#endif
#endif
              target_fence = mine; target_state = mine;
              if
              :: mine > newest_order -> newest_order = mine
              :: else -> skip
              fi
#ifndef NO_FENCE_CHECK
#ifndef NO_WAIT
         :: else -> skip
         fi
#endif
#endif
       }
  fi;
  sent++;
  assert(target_state == newest_order)
}

init { atomic { run Router(); run Router() } }
