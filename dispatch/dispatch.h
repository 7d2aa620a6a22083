// Public header of the dispatch library: choice of a request's target, retries,
// rate limits, target health, and claims for at-most-once execution.
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
