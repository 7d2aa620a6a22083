// Divides the fleet's throughput evenly among customers. Load pattern: one
// customer floods, or all customers together exceed the capacity of the
// targets.
#ifndef ADMISSION_FAIR_SHARE_H_
#define ADMISSION_FAIR_SHARE_H_

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// Tokens per second of one customer: requested, and served.
struct CustomerRate {
  double demand = 0;
  double served = 0;
};

// Rates of all customers in the fleet, from this router's own requests and
// the reports of peers. A prompt token counts once, a generated one twice.
class FairShare {
 public:
  using Rates = std::unordered_map<CustomerId, CustomerRate>;

  // Throughput of the fleet; zero if not known.
  auto SetCapacity(double tokens_per_second) -> void;

  auto RecordDemand(const CustomerId& customer, double tokens, Time now)
      -> void;
  auto RecordService(const CustomerId& customer, double tokens, Time now)
      -> void;

  auto OwnRates(Time now) const -> Rates;
  // Rates of other routers; `source` is a router, or a hub's sum over several.
  auto SetPeerRates(const RouterId& source, Rates rates, Time now) -> void;
  auto ClearPeerRates() -> void { peers_.clear(); }
  // Calls `visit` with each source whose rates are still valid.
  auto ForEachPeer(
      Time now,
      const std::function<void(const RouterId&, const Rates&)>& visit) const
      -> void;

  // Served rate of the customer divided by its max-min fair share: above 1 it
  // has had more than that lately. 0 while capacity covers all demand.
  auto ShareUsed(const CustomerId& customer, Time now) const -> double;

 private:
  // Tokens, decayed exponentially up to `at`.
  struct DecayingSum {
    double tokens = 0;
    Time at{};
  };
  struct Account {
    DecayingSum demand;
    DecayingSum served;
  };
  struct PeerRates {
    Rates rates;
    Time received_at{};
  };

  static auto Add(DecayingSum& sum, double tokens, Time now) -> void;
  static auto Rate(const DecayingSum& sum, Time now) -> double;
  auto FleetRates(Time now) const -> Rates;
  // Highest rate per customer that max-min fairness allows; 0 if capacity
  // covers all demand.
  auto FairRate(const Rates& rates) const -> double;

  double capacity_ = 0;
  std::unordered_map<CustomerId, Account> accounts_;
  std::map<RouterId, PeerRates> peers_;
  // Fleet rates as of `computed_at_`; recomputed at most every
  // `kRefreshPeriod`.
  mutable Rates fleet_;
  mutable double fair_rate_ = 0;
  mutable Time computed_at_{};
};

}  // namespace papayaplank

#endif  // ADMISSION_FAIR_SHARE_H_
