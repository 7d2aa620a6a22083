// Cumulative sums of service and their exchange through the coordinator.
#include "router/account_exchange.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// Bounds each map of sums; an arbitrary sum is dropped to make room.
constexpr std::size_t kMaxSums = 8192;

}  // namespace

auto AccountExchange::AddLocal(const CustomerId& customer, const PoolId& pool,
                               Weight weight, Cost cost) -> void {
  const Key key(customer, pool);
  if (local_.size() >= kMaxSums && local_.count(key) == 0) {
    local_.erase(local_.begin());
  }
  auto& sum = local_[key];
  sum.weight = weight;
  sum.served.units += cost.units;
}

auto AccountExchange::MakeReports(const CoordinatorLookup& find_coordinator,
                                  std::size_t limit)
    -> std::vector<AddressedAccountReport> {
  struct Unreported {
    double units;
    Key key;
  };
  std::vector<Unreported> unreported;
  for (const auto& [key, sum] : local_) {
    const auto units = std::abs(sum.served.units - sum.reported.units);
    if (units < 1) continue;
    if (find_coordinator(key.first) == self_) continue;
    unreported.push_back({units, key});
  }
  const auto count = std::min(limit, unreported.size());
  std::partial_sort(unreported.begin(),
                    unreported.begin() + static_cast<std::ptrdiff_t>(count),
                    unreported.end(),
                    [](const Unreported& a, const Unreported& b) {
                      return a.units > b.units;
                    });
  std::map<RouterId, AccountReport> reports;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& key = unreported[i].key;
    auto& sum = local_[key];
    sum.reported = sum.served;
    auto& report = reports[find_coordinator(key.first)];
    report.router = self_;
    report.entries.push_back({key.first, key.second, sum.weight, sum.served});
  }
  std::vector<AddressedAccountReport> result;
  for (auto& [coordinator, report] : reports) {
    result.push_back({coordinator, std::move(report)});
  }
  return result;
}

auto AccountExchange::Handle(const AccountReport& report,
                             std::vector<RemoteCharge>& charges)
    -> AccountReply {
  AccountReply reply{self_, {}};
  for (const auto& entry : report.entries) {
    const Key key(entry.customer, entry.pool);
    if (reported_.size() >= kMaxSums && reported_.count(key) == 0) {
      reported_.erase(reported_.begin());
    }
    auto& sums = reported_[key];
    const auto known = sums.find(report.router);
    // The first sum that a router reports covers all its past service, which
    // must not be charged at once.
    if (known != sums.end()) {
      const Cost change{entry.served.units - known->second.units};
      charges.push_back({entry.customer, entry.pool, entry.weight, change});
    }
    sums[report.router] = entry.served;
    reply.entries.push_back({entry.customer, entry.pool, entry.weight,
                             SumOfOthers(key, report.router)});
  }
  return reply;
}

auto AccountExchange::Handle(const AccountReply& reply)
    -> std::vector<RemoteCharge> {
  std::vector<RemoteCharge> charges;
  for (const auto& entry : reply.entries) {
    const auto found = local_.find(Key(entry.customer, entry.pool));
    if (found == local_.end()) continue;
    auto& sum = found->second;
    const Cost change{entry.served.units - sum.others.units};
    const auto is_same_coordinator = sum.coordinator == reply.coordinator;
    sum.coordinator = reply.coordinator;
    sum.others = entry.served;
    // A new coordinator counts from zero, and the sum falls when the
    // coordinator removes a dead router: neither is new service.
    if (!is_same_coordinator || change.units <= 0) continue;
    charges.push_back({entry.customer, entry.pool, sum.weight, change});
  }
  return charges;
}

auto AccountExchange::RemoveRouter(const RouterId& router) -> void {
  for (auto& [key, sums] : reported_) sums.erase(router);
}

auto AccountExchange::SumOfOthers(const Key& key, const RouterId& router) const
    -> Cost {
  Cost total;
  const auto local = local_.find(key);
  if (local != local_.end()) total = local->second.served;
  const auto sums = reported_.find(key);
  if (sums == reported_.end()) return total;
  for (const auto& [reporter, served] : sums->second) {
    if (reporter != router) total.units += served.units;
  }
  return total;
}

}  // namespace papayaplank
