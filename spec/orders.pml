/* Orders to a target under a fencing lease: two routers hold the order lease of
   a target one after the other; a holder may be paused beyond its lease. A
   target that checks fencing numbers refuses an older one. A target that does
   not check them receives an order only after the old lease has expired and the
   target's state was read back. Safety: the target ends in the state of the
   newest order.

   Mutations (each must fail):
   NO_FENCE_CHECK  the target accepts every order;
   NO_WAIT         the target accepts every order of a router that was paused
                   beyond its lease. */

byte fence = 0;           /* highest fencing number from the table service */
byte target_fence = 0;    /* highest fencing number that the target accepted */
byte target_state = 0;    /* fencing number of the order in effect */
byte newest_order = 0;    /* highest fencing number of an accepted order */
byte sent = 0;            /* routers that have ended */
bool lease_free = true;

proctype Router() {
  byte own_fence;
  /* The lease row gives a new number with each holder. */
  atomic { lease_free -> lease_free = false; fence++; own_fence = fence };
  if
  :: true ->                    /* in time */
       atomic { 
#ifndef NO_FENCE_CHECK
         if
         :: own_fence >= target_fence ->
#endif
              target_fence = own_fence; target_state = own_fence;
              if
              :: own_fence > newest_order -> newest_order = own_fence
              :: else -> skip
              fi
#ifndef NO_FENCE_CHECK
         :: else -> skip
         fi
#endif
       };
       lease_free = true
  :: true ->                    /* paused: the lease expires, then it resumes */
       lease_free = true;
#ifdef NO_WAIT
       skip;
#endif
       atomic {
#ifndef NO_FENCE_CHECK
#ifndef NO_WAIT
         if
         :: own_fence >= target_fence ->
#endif
#endif
              target_fence = own_fence; target_state = own_fence;
              if
              :: own_fence > newest_order -> newest_order = own_fence
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
