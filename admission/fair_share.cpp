// Max-min shares by progressive filling.
#include "admission/fair_share.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// Time constant of the rates; source: half of the window over which the
// operators compare customers.
constexpr double kRateSeconds = 2;
// Rates of a peer that is silent for longer are dropped.
constexpr Duration kPeerRatesLife = milliseconds(1500);
// How stale the fleet's sums may be.
constexpr Duration kRefresh = milliseconds(50);
constexpr std::size_t kMaxAccounts = 4096;
// An account with less than this rate (tokens a second) is forgotten.
constexpr double kIdleRate = 1;

auto Decay(Duration elapsed) -> double {
  const auto seconds_elapsed = std::chrono::duration<double>(elapsed).count();
  return std::exp(-std::max(0.0, seconds_elapsed) / kRateSeconds);
}

}  // namespace

auto FairShare::SetCapacity(double tokens_per_second) -> void {
  capacity_ = tokens_per_second;
}

auto FairShare::Add(Decayed& sum, double tokens, Time now) -> void {
  sum.tokens = sum.tokens * Decay(now - sum.at) + tokens;
  sum.at = now;
}

auto FairShare::Rate(const Decayed& sum, Time now) -> double {
  return sum.tokens * Decay(now - sum.at) / kRateSeconds;
}

auto FairShare::RecordAsked(const CustomerId& customer, double tokens, Time now)
    -> void {
  if (accounts_.size() >= kMaxAccounts && accounts_.count(customer) == 0) {
    std::erase_if(accounts_, [now](const auto& entry) {
      return Rate(entry.second.asked, now) < kIdleRate;
    });
  }
  Add(accounts_[customer].asked, tokens, now);
}

auto FairShare::RecordServed(const CustomerId& customer, double tokens,
                             Time now) -> void {
  Add(accounts_[customer].served, tokens, now);
}

auto FairShare::OwnRates(Time now) const -> Rates {
  Rates rates;
  for (const auto& [customer, account] : accounts_) {
    const CustomerRate rate{Rate(account.asked, now),
                            Rate(account.served, now)};
    if (rate.asked >= kIdleRate || rate.served >= kIdleRate) {
      rates[customer] = rate;
    }
  }
  return rates;
}

auto FairShare::SetPeer(const RouterId& peer, Rates rates, Time now) -> void {
  peers_[peer] = PeerRates{std::move(rates), now};
}

auto FairShare::FleetRates(Time now) const -> Rates {
  auto sums = OwnRates(now);
  for (const auto& [peer, told] : peers_) {
    if (now - told.told_at > kPeerRatesLife) continue;
    for (const auto& [customer, rate] : told.rates) {
      auto& sum = sums[customer];
      sum.asked += rate.asked;
      sum.served += rate.served;
    }
  }
  return sums;
}

auto FairShare::Level(const Rates& rates) const -> double {
  std::vector<double> asked;
  asked.reserve(rates.size());
  for (const auto& [customer, rate] : rates) asked.push_back(rate.asked);
  std::sort(asked.begin(), asked.end());
  // Targets may produce more than was stated; then that is what is shared.
  double produced = 0;
  for (const auto& [customer, rate] : rates) produced += rate.served;
  auto left = std::max(capacity_, produced);
  auto customers = static_cast<double>(asked.size());
  for (const auto rate : asked) {
    const auto even = left / customers;
    if (rate > even) return even;
    left -= rate;
    customers -= 1;
  }
  return 0;
}

auto FairShare::ShareUsed(const CustomerId& customer, Time now) const
    -> double {
  if (capacity_ <= 0) return 0;
  if (computed_at_ == Time{} || now - computed_at_ >= kRefresh) {
    fleet_ = FleetRates(now);
    level_ = Level(fleet_);
    computed_at_ = now;
  }
  if (level_ <= 0) return 0;
  const auto found = fleet_.find(customer);
  return found == fleet_.end() ? 0 : found->second.served / level_;
}

}  // namespace papayaplank
