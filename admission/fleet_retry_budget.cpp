// Counts requests and retries in a sliding window.
#include "admission/fleet_retry_budget.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Share of the bound that is used. The rest covers requests that moved to
// another router within the window, and requests that were counted late.
constexpr double kPlannedShare = 0.7;

}  // namespace

auto FleetRetryBudget::SetRouters(std::size_t routers) -> void {
  routers_ = std::max(1.0, static_cast<double>(routers));
}

auto FleetRetryBudget::Trim(Counts& counts, Time now) const -> void {
  const auto oldest = now - bound_.window;
  while (!counts.requests.empty() && counts.requests.front() < oldest) {
    counts.requests.pop_front();
  }
  while (!counts.retries.empty() && counts.retries.front() < oldest) {
    counts.retries.pop_front();
  }
}

auto FleetRetryBudget::RecordRequest(const PoolId& pool, Time now) -> void {
  auto& counts = pools_[pool];
  counts.requests.push_back(now);
  Trim(counts, now);
}

auto FleetRetryBudget::Remaining(const PoolId& pool, Time now) -> double {
  auto& counts = pools_[pool];
  Trim(counts, now);
  const auto allowed =
      kPlannedShare *
      (bound_.ratio * static_cast<double>(counts.requests.size()) +
       bound_.slack / routers_);
  return std::max(0.0, allowed - static_cast<double>(counts.retries.size()));
}

auto FleetRetryBudget::TrySpend(const PoolId& pool, Time now) -> bool {
  if (Remaining(pool, now) < 1) return false;
  pools_[pool].retries.push_back(now);
  return true;
}

}  // namespace papayaplank
