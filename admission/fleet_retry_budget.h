// Bounds the retries of the fleet. Each router uses its own part of the budget,
// so no messages are needed. Load pattern: targets that fail or refuse many
// requests at once.
#ifndef ADMISSION_FLEET_RETRY_BUDGET_H_
#define ADMISSION_FLEET_RETRY_BUDGET_H_

#include <deque>
#include <map>

#include "base/base.h"

namespace papayaplank {

// The bound of the fleet: in any window, the retries of a service are at most
// `ratio` x its requests + `slack`.
struct RetryBound {
  double ratio = 0.2;
  double slack = 10;
  Duration window = seconds(10);
};

// This router's part of the budget: its own requests count in full, the slack
// is divided evenly among the routers of the last window. A router that has
// ended may have spent its part just before, and so may the process before this
// one.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryBound bound) : bound_(bound) {}

  // Number of live routers, this one included.
  auto SetRouters(std::size_t routers, Time now) -> void;
  auto RecordRequest(const PoolId& pool, Time now) -> void;
  // Whether one more retry is within the budget; counts it if so.
  auto TrySpend(const PoolId& pool, Time now) -> bool;
  // Retries that the budget allows now.
  auto Remaining(const PoolId& pool, Time now) -> double;

 private:
  struct Counts {
    std::deque<Time> requests;
    std::deque<Time> retries;
  };

  // This router's part of the slack.
  auto SlackShare(Time now) const -> double;
  // Drops times before the window.
  auto Trim(Counts& counts, Time now) const -> void;

  RetryBound bound_;
  // The most routers within the window, and when there were so many last.
  double routers_ = 1;
  Time counted_at_{};
  // When this router was first in use.
  Time began_at_{};
  std::map<PoolId, Counts> pools_;
};

}  // namespace papayaplank

#endif  // ADMISSION_FLEET_RETRY_BUDGET_H_
