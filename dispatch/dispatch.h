// Public header of the dispatch library: which target a request goes to,
// whether it may be tried again, and the rules of at most once.
#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

#include "dispatch/attempt.h"
#include "dispatch/claim.h"
#include "dispatch/prefix_affinity.h"
#include "dispatch/rate_limiter.h"
#include "dispatch/retry_policy.h"
#include "dispatch/target_chooser.h"
#include "dispatch/target_health.h"

#endif  // DISPATCH_DISPATCH_H_
