// Computes max-min fair shares by progressive filling.
#include "admission/fair_share.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// Time constant of the decaying sums: half of the window over which operators
// compare the service of customers.
constexpr double kRateSeconds = 2;
// Rates of a peer are ignored if no report confirmed them for this long.
constexpr Duration kPeerRatesTimeout = milliseconds(1500);
// The fleet's rates are recomputed at most this often.
constexpr Duration kRefreshPeriod = milliseconds(50);
// Once there are this many accounts, idle ones are dropped.
constexpr std::size_t kMaxAccounts = 4096;
// An account below this rate, in tokens per second, is idle.
constexpr double kIdleRate = 1;

auto DecayFactor(Duration elapsed) -> double {
  const auto seconds_elapsed = std::chrono::duration<double>(elapsed).count();
  return std::exp(-std::max(0.0, seconds_elapsed) / kRateSeconds);
}

}  // namespace

auto FairShare::SetCapacity(double tokens_per_second) -> void {
  capacity_ = tokens_per_second;
}

auto FairShare::Add(DecayingSum& sum, double tokens, Time now) -> void {
  sum.tokens = sum.tokens * DecayFactor(now - sum.at) + tokens;
  sum.at = now;
}

auto FairShare::Rate(const DecayingSum& sum, Time now) -> double {
  return sum.tokens * DecayFactor(now - sum.at) / kRateSeconds;
}

auto FairShare::RecordDemand(const CustomerId& customer, double tokens,
                             Time now) -> void {
  if (accounts_.size() >= kMaxAccounts && accounts_.count(customer) == 0) {
    std::erase_if(accounts_, [now](const auto& entry) {
      return Rate(entry.second.demand, now) < kIdleRate;
    });
  }
  Add(accounts_[customer].demand, tokens, now);
}

auto FairShare::RecordService(const CustomerId& customer, double tokens,
                              Time now) -> void {
  Add(accounts_[customer].served, tokens, now);
}

auto FairShare::OwnRates(Time now) const -> Rates {
  Rates rates;
  for (const auto& [customer, account] : accounts_) {
    const CustomerRate rate{Rate(account.demand, now),
                            Rate(account.served, now)};
    if (rate.demand >= kIdleRate || rate.served >= kIdleRate) {
      rates[customer] = rate;
    }
  }
  return rates;
}

auto FairShare::SetPeerRates(const RouterId& source, Rates rates, Time now)
    -> void {
  peers_[source] = PeerRates{std::move(rates), now};
}

auto FairShare::ForEachPeer(
    Time now,
    const std::function<void(const RouterId&, const Rates&)>& visit) const
    -> void {
  for (const auto& [source, peer_rates] : peers_) {
    if (now - peer_rates.received_at > kPeerRatesTimeout) continue;
    visit(source, peer_rates.rates);
  }
}

auto FairShare::FleetRates(Time now) const -> Rates {
  auto sums = OwnRates(now);
  ForEachPeer(now, [&sums](const RouterId&, const Rates& rates) {
    for (const auto& [customer, rate] : rates) {
      auto& sum = sums[customer];
      sum.demand += rate.demand;
      sum.served += rate.served;
    }
  });
  return sums;
}

auto FairShare::FairRate(const Rates& rates) const -> double {
  std::vector<double> demands;
  demands.reserve(rates.size());
  for (const auto& [customer, rate] : rates) demands.push_back(rate.demand);
  std::sort(demands.begin(), demands.end());
  // If the targets produce more than the stated capacity, all of it is divided.
  double produced = 0;
  for (const auto& [customer, rate] : rates) produced += rate.served;
  auto remaining = std::max(capacity_, produced);
  auto remaining_customers = static_cast<double>(demands.size());
  for (const auto rate : demands) {
    const auto even_share = remaining / remaining_customers;
    if (rate > even_share) return even_share;
    remaining -= rate;
    remaining_customers -= 1;
  }
  return 0;
}

auto FairShare::ShareUsed(const CustomerId& customer, Time now) const
    -> double {
  if (capacity_ <= 0) return 0;
  if (computed_at_ == Time{} || now - computed_at_ >= kRefreshPeriod) {
    fleet_ = FleetRates(now);
    fair_rate_ = FairRate(fleet_);
    computed_at_ = now;
  }
  if (fair_rate_ <= 0) return 0;
  const auto found = fleet_.find(customer);
  return found == fleet_.end() ? 0 : found->second.served / fair_rate_;
}

}  // namespace papayaplank
