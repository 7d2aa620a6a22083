// Public header of the admission library: load forecasts, fair shares and
// budgets that decide where a request is served, whether it is refused when the
// load exceeds the capacity of the targets, which prompts crash targets, and
// what targets say of themselves.
#ifndef ADMISSION_ADMISSION_H_
#define ADMISSION_ADMISSION_H_

#include "admission/cached_prefixes.h"
#include "admission/cold_targets.h"
#include "admission/engine_load.h"
#include "admission/fair_share.h"
#include "admission/fleet_retry_budget.h"
#include "admission/memory_budget.h"
#include "admission/part_quarantine.h"
#include "admission/permit_issuer.h"
#include "admission/permit_wallet.h"
#include "admission/router_load.h"
#include "admission/target_limits.h"
#include "admission/target_outcomes.h"
#include "admission/target_pace.h"
#include "admission/target_pauses.h"
#include "admission/target_statement.h"

#endif  // ADMISSION_ADMISSION_H_
