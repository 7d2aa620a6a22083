// Public header of the fairness library: accounts, virtual time, and the
// queue of each pool at one router.
#ifndef FAIRNESS_FAIRNESS_H_
#define FAIRNESS_FAIRNESS_H_

#include "fairness/cost_estimator.h"
#include "fairness/pool_queue.h"

#endif  // FAIRNESS_FAIRNESS_H_
