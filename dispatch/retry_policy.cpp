// Names and meaning of attempt results; rules, delays and budget of retries.
#include "dispatch/retry_policy.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr Duration kFirstDelay = milliseconds(20);
constexpr Duration kLongestDelay = seconds(2);
constexpr int kMaxDoublings = 7;
// Bounds the number of keys; an arbitrary balance is dropped to make room.
constexpr std::size_t kMaxBalances = 8192;

}  // namespace

auto RanName(Ran ran) -> std::string_view {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kYes:
      return "yes";
  }
  return "unknown";
}

auto AttemptResultName(AttemptResult result) -> std::string_view {
  switch (result) {
    case AttemptResult::kComplete:
      return "complete";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kNotReached:
      return "not_reached";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kSilent:
      return "silent";
    case AttemptResult::kCrossed:
      return "crossed";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

auto RanAfter(AttemptResult result) -> Ran {
  switch (result) {
    case AttemptResult::kComplete:
      return Ran::kYes;
    case AttemptResult::kRefused:
    case AttemptResult::kNotReached:
      return Ran::kNo;
    case AttemptResult::kBroken:
    case AttemptResult::kSilent:
    case AttemptResult::kCrossed:
    case AttemptResult::kCancelled:
      return Ran::kUnknown;
  }
  return Ran::kUnknown;
}

auto IsRetryAllowed(const RetryContext& context) -> bool {
  const auto& report = context.report;
  if (report.result == AttemptResult::kComplete) return false;
  if (report.result == AttemptResult::kCancelled) return false;
  if (context.now >= context.deadline) return false;
  if (context.attempts >= context.max_attempts) return false;
  if (report.has_caller_seen_head && !report.is_resumable) return false;
  return context.is_idempotent || RanAfter(report.result) == Ran::kNo;
}

auto RetryDelay(int attempts, Random& random) -> Duration {
  const auto doublings = std::clamp(attempts - 1, 0, kMaxDoublings);
  const auto bound = std::min(kLongestDelay, kFirstDelay * (1 << doublings));
  return Scale(bound, random.Uniform());
}

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share), reserve_(reserve) {}

auto RetryBudget::Balance(const std::string& key) -> double& {
  if (balances_.size() >= kMaxBalances && balances_.count(key) == 0) {
    balances_.erase(balances_.begin());
  }
  return balances_.try_emplace(key, reserve_).first->second;
}

auto RetryBudget::RecordFirstAttempt(const std::string& key) -> void {
  auto& balance = Balance(key);
  balance = std::min(reserve_, balance + share_);
}

auto RetryBudget::TrySpend(const std::string& first, const std::string& second)
    -> bool {
  if (Balance(first) < 1 || Balance(second) < 1) return false;
  Balance(first) -= 1;
  Balance(second) -= 1;
  return true;
}

}  // namespace papayaplank
