// Which requests are retried, after which delay, and within which budget.
#ifndef DISPATCH_RETRY_POLICY_H_
#define DISPATCH_RETRY_POLICY_H_

#include <map>
#include <string>

#include "dispatch/attempt.h"

namespace papayaplank {

// What the decision on a retry depends on.
struct RetryContext {
  AttemptReport report;
  bool is_idempotent = false;
  // Attempts made so far and allowed in all.
  int attempts = 1;
  int max_attempts = 1;
  Time now{};
  Time deadline{};
};

// Whether the rules allow another attempt. A request that is not idempotent is
// retried only if it certainly did not run.
auto IsRetryAllowed(const RetryContext& context) -> bool;

// Exponential delay with full jitter before attempt number `attempts` + 1.
auto RetryDelay(int attempts, Random& random) -> Duration;

// Bounds retries to a share of first attempts, for each key (a customer or a
// target), so that retries do not multiply the load while many attempts fail.
class RetryBudget {
 public:
  // Each first attempt earns `share` of a retry, up to `reserve`.
  RetryBudget(double share, double reserve);

  auto RecordFirstAttempt(const std::string& key) -> void;
  // Takes one retry from the balance of both keys, the customer and the target.
  // Returns false, and takes none, if either has less than one.
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
