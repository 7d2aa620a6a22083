// Cumulative sums and their exchange through the holder.
#include "router/account_exchange.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

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

auto AccountExchange::MakeReports(const HolderOf& holder_of, std::size_t limit)
    -> std::vector<AddressedAccounts> {
  struct Unreported {
    double units;
    Key key;
  };
  std::vector<Unreported> unreported;
  for (const auto& [key, sum] : local_) {
    const auto units = std::abs(sum.served.units - sum.reported.units);
    if (units < 1) continue;
    if (holder_of(key.first) == self_) continue;
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
    auto& report = reports[holder_of(key.first)];
    report.router = self_;
    report.entries.push_back({key.first, key.second, sum.weight, sum.served});
  }
  std::vector<AddressedAccounts> result;
  for (auto& [holder, report] : reports) {
    result.push_back({holder, std::move(report)});
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
    // The first sum of a router is its history, not service to charge now.
    if (known != sums.end()) {
      const Cost change{entry.served.units - known->second.units};
      charges.push_back({entry.customer, entry.pool, entry.weight, change});
    }
    sums[report.router] = entry.served;
    reply.entries.push_back({entry.customer, entry.pool, entry.weight,
                             OthersOf(key, report.router)});
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
    const auto is_same_holder = sum.holder == reply.holder;
    sum.holder = reply.holder;
    sum.others = entry.served;
    // A new holder's sum starts anew; so does one that forgot a router.
    if (!is_same_holder || change.units <= 0) continue;
    charges.push_back({entry.customer, entry.pool, sum.weight, change});
  }
  return charges;
}

auto AccountExchange::Forget(const RouterId& router) -> void {
  for (auto& [key, sums] : reported_) sums.erase(router);
}

auto AccountExchange::OthersOf(const Key& key, const RouterId& router) const
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
