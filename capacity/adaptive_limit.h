// Adaptive limit on the requests that a target serves at once: additive
// increase while the latency objective is met, multiplicative decrease when
// it is missed. It relies on what routers see; load reports are late.
#ifndef CAPACITY_ADAPTIVE_LIMIT_H_
#define CAPACITY_ADAPTIVE_LIMIT_H_

#include "base/base.h"

namespace papayaplank {

// Latency objective for 95 in 100 observations.
struct LatencyObjective {
  Duration first_token = milliseconds(510);
  Duration token_gap = milliseconds(77);
  // Largest share of observations that may miss the objective.
  double miss_share = 0.05;
};

// Counts of observations since the last report.
struct LatencySample {
  int observations = 0;
  int misses = 0;
};

// The limit of one target.
class AdaptiveLimit {
 public:
  // `start` comes from the instance list; the limit stays within
  // [1, 2 x start].
  AdaptiveLimit(int start, LatencyObjective objective);

  // Adds observations of this router or of a borrower.
  auto Observe(LatencySample sample) -> void;

  // Ends a window: changes the limit at most once a second. `is_saturated`
  // says that all slots were in use, without which no increase is earned.
  auto Tick(bool is_saturated, Time now) -> void;

  auto limit() const -> int { return limit_; }

 private:
  LatencyObjective objective_;
  int maximum_;
  int limit_;
  LatencySample window_;
  Time next_change_{};
};

}  // namespace papayaplank

#endif  // CAPACITY_ADAPTIVE_LIMIT_H_
