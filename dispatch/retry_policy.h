// Which requests are tried again, when, and how many over a period.
#ifndef DISPATCH_RETRY_POLICY_H_
#define DISPATCH_RETRY_POLICY_H_

#include <map>
#include <string>

#include "dispatch/attempt.h"

namespace papayaplank {

// What a retry decision needs to know of a request.
struct RetryQuestion {
  AttemptReport report;
  bool is_idempotent = false;
  // Attempts made so far and allowed in all.
  int attempts = 1;
  int max_attempts = 1;
  Time now{};
  Time deadline{};
};

// Whether the rules allow another attempt. A request that is not idempotent
// is tried again only if it surely did not run.
auto IsRetryAllowed(const RetryQuestion& question) -> bool;

// Exponential delay with full jitter before attempt number `attempts` + 1.
auto RetryDelay(int attempts, Random& random) -> Duration;

// Bounds retries to a share of first attempts, for each key (a customer or a
// target), so that a brown-out does not multiply the load.
class RetryBudget {
 public:
  // Each first attempt earns `share` of a retry, up to `reserve`.
  RetryBudget(double share, double reserve);

  auto RecordFirstAttempt(const std::string& key) -> void;
  // Whether every key can pay for a retry; takes the payment if so.
  auto TrySpend(const std::string& first, const std::string& second) -> bool;

 private:
  auto Balance(const std::string& key) -> double&;

  double share_;
  double reserve_;
  // Between 0 and `reserve_`; a new key starts with a full reserve.
  std::map<std::string, double> balances_;
};

}  // namespace papayaplank

#endif  // DISPATCH_RETRY_POLICY_H_
