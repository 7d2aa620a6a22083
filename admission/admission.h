// Public header of the admission library: who is served, where, and who is
// refused when the load is above what the targets can do.
#ifndef ADMISSION_ADMISSION_H_
#define ADMISSION_ADMISSION_H_

#include "admission/cached_prefixes.h"
#include "admission/engine_load.h"
#include "admission/fair_share.h"
#include "admission/fleet_retry_budget.h"
#include "admission/router_load.h"
#include "admission/target_outcomes.h"

#endif  // ADMISSION_ADMISSION_H_
