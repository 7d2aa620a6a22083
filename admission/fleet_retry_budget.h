// A budget of repeated sends that all routers share without a message. Load
// pattern: targets that fail or refuse many requests at once.
#ifndef ADMISSION_FLEET_RETRY_BUDGET_H_
#define ADMISSION_FLEET_RETRY_BUDGET_H_

#include <deque>
#include <map>

#include "base/base.h"

namespace papayaplank {

// The fleet's bound: in any window, repeats of a service are at most
// `ratio` x its requests + `slack`.
struct RetryBound {
  double ratio = 0.2;
  double slack = 10;
  Duration window = seconds(10);
};

// This router's part of the bound: its own requests count in full, the slack
// is divided among the routers.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBound bound) : bound_(bound) {}

  auto SetRouters(std::size_t routers) -> void;
  auto RecordRequest(const PoolId& pool, Time now) -> void;
  // Whether one more send is within the bound; counts it if so.
  auto TrySpend(const PoolId& pool, Time now) -> bool;
  // Further sends that the bound allows now.
  auto Remaining(const PoolId& pool, Time now) -> double;

 private:
  struct Counts {
    std::deque<Time> requests;
    std::deque<Time> retries;
  };

  auto Trim(Counts& counts, Time now) const -> void;

  RetryBound bound_;
  double routers_ = 1;
  std::map<PoolId, Counts> pools_;
};

}  // namespace papayaplank

#endif  // ADMISSION_FLEET_RETRY_BUDGET_H_
