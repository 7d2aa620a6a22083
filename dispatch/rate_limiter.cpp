// Refill and use of token buckets.
#include "dispatch/rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace papayaplank {
namespace {

// From this number of buckets on, those that are idle for `kIdleTime` are
// dropped.
constexpr std::size_t kMaxBuckets = 4096;
constexpr Duration kIdleTime = seconds(60);

using SecondsAsDouble = std::chrono::duration<double>;

}  // namespace

auto RateLimiter::Admit(const Customer& customer, Time now) -> Admission {
  if (buckets_.size() >= kMaxBuckets) {
    std::erase_if(buckets_, [now](const auto& item) {
      return now - item.second.filled_at > kIdleTime;
    });
  }
  const auto& limits = customer.limits;
  const auto [found, is_new] = buckets_.try_emplace(customer.id);
  auto& bucket = found->second;
  if (is_new) bucket = {limits.burst, now};
  const auto passed = SecondsAsDouble(now - bucket.filled_at).count();
  bucket.tokens = std::min(limits.burst,
                           bucket.tokens + passed * limits.requests_per_second);
  bucket.filled_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return {};
  }
  const auto wait =
      SecondsAsDouble((1 - bucket.tokens) / limits.requests_per_second);
  return {false, std::chrono::duration_cast<Duration>(wait)};
}

}  // namespace papayaplank
