// Counts requests and retries in a sliding window.
#include "admission/fleet_retry_budget.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Share of the bound that is used. The rest covers requests that moved to
// another router within the window, and requests that were counted late.
constexpr double kPlannedShare = 0.7;
// Part of its share of the slack that a router uses in its first window. With
// the whole share of an earlier process, it stays within the bound.
constexpr double kFirstWindowShare = 1 / kPlannedShare - 1;

}  // namespace

auto FleetRetryBudget::SetRouters(std::size_t routers, Time now) -> void {
  const auto count = std::max(1.0, static_cast<double>(routers));
  if (count < routers_ && now - counted_at_ <= bound_.window) return;
  routers_ = count;
  counted_at_ = now;
}

auto FleetRetryBudget::SlackShare(Time now) const -> double {
  const auto is_new = now - began_at_ < bound_.window;
  return bound_.slack / routers_ * (is_new ? kFirstWindowShare : 1);
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
  if (began_at_ == Time{}) began_at_ = now;
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
       SlackShare(now));
  return std::max(0.0, allowed - static_cast<double>(counts.retries.size()));
}

auto FleetRetryBudget::TrySpend(const PoolId& pool, Time now) -> bool {
  if (Remaining(pool, now) < 1) return false;
  pools_[pool].retries.push_back(now);
  return true;
}

}  // namespace papayaplank
