// Sliding window of requests and repeats.
#include "admission/retry_window.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Share of the bound that is used; the rest covers requests that moved to
// another router within the window, and arrivals counted late.
constexpr double kUsedShare = 0.7;

}  // namespace

auto RetryWindow::SetRouters(std::size_t routers) -> void {
  routers_ = std::max(1.0, static_cast<double>(routers));
}

auto RetryWindow::Trim(Counts& counts, Time now) const -> void {
  const auto oldest = now - bound_.window;
  while (!counts.requests.empty() && counts.requests.front() < oldest) {
    counts.requests.pop_front();
  }
  while (!counts.repeats.empty() && counts.repeats.front() < oldest) {
    counts.repeats.pop_front();
  }
}

auto RetryWindow::RecordRequest(const PoolId& pool, Time now) -> void {
  auto& counts = pools_[pool];
  counts.requests.push_back(now);
  Trim(counts, now);
}

auto RetryWindow::Left(const PoolId& pool, Time now) -> double {
  auto& counts = pools_[pool];
  Trim(counts, now);
  const auto allowed =
      kUsedShare * (bound_.ratio * static_cast<double>(counts.requests.size()) +
                    bound_.slack / routers_);
  return std::max(0.0, allowed - static_cast<double>(counts.repeats.size()));
}

auto RetryWindow::TrySpend(const PoolId& pool, Time now) -> bool {
  if (Left(pool, now) < 1) return false;
  pools_[pool].repeats.push_back(now);
  return true;
}

}  // namespace papayaplank
