// Public header of the fairness library: the queue of a pool at one router with
// the accounts of its customers, and the estimates of request costs.
#ifndef FAIRNESS_FAIRNESS_H_
#define FAIRNESS_FAIRNESS_H_

#include "fairness/cost_estimator.h"
#include "fairness/pool_queue.h"

#endif  // FAIRNESS_FAIRNESS_H_
