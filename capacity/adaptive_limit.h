// Adaptive limit on the requests that a target serves at once: additive
// increase while the latency objective is met, multiplicative decrease when
// it is missed. It uses the latencies that routers observe, since load reports
// of targets come late.
#ifndef CAPACITY_ADAPTIVE_LIMIT_H_
#define CAPACITY_ADAPTIVE_LIMIT_H_

#include "base/base.h"

namespace papayaplank {

// Latency objective that 95 of 100 observations must meet.
struct LatencyObjective {
  // From the start of an attempt to its first token.
  Duration first_token = milliseconds(510);
  // Between two arrivals of tokens.
  Duration token_gap = milliseconds(77);
  // Largest share of observations that may miss the objective.
  double miss_share = 0.05;
};

// A number of latency observations, and how many missed the objective.
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

  // Adds observations to the current window.
  auto Observe(LatencySample sample) -> void;

  // Adjusts the limit and begins a new window if the current one has enough
  // observations, at most once a second. `is_saturated` tells whether all slots
  // are in use; the limit rises only then, since a partly idle target does not
  // show how much it can take.
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
