// Accounts of customers that several routers serve. For each customer one
// router, the coordinator, adds up the service that every router reports; each
// router then charges its customers for the service that the others gave.
#ifndef ROUTER_ACCOUNT_EXCHANGE_H_
#define ROUTER_ACCOUNT_EXCHANGE_H_

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "router/peer_messages.h"

namespace papayaplank {

// A charge for service that another router gave.
struct RemoteCharge {
  CustomerId customer;
  PoolId pool;
  Weight weight;
  Cost cost;
};

// A report and the coordinator that it goes to.
struct AddressedAccountReport {
  RouterId coordinator;
  AccountReport report;
};

// Sums of service per customer, pool and router. All sums are cumulative, so
// a lost message is made up for by the next report of the same sum, and a
// duplicate has no effect.
class AccountExchange {
 public:
  // Finds the router that coordinates a customer's account.
  using CoordinatorLookup = std::function<RouterId(const CustomerId&)>;

  explicit AccountExchange(RouterId self) : self_(std::move(self)) {}

  // Adds service that this router gave. `cost` is negative if it corrects an
  // earlier charge that was too high.
  auto AddLocal(const CustomerId& customer, const PoolId& pool, Weight weight,
                Cost cost) -> void;

  // Returns reports of the sums that have changed most since they were last
  // reported, `limit` entries at most in all. Changes of less than one cost
  // unit, and customers that this router coordinates itself, are left out.
  auto MakeReports(const CoordinatorLookup& find_coordinator, std::size_t limit)
      -> std::vector<AddressedAccountReport>;

  // As coordinator: stores a report, appends the charges to make on this router
  // to `charges`, and returns the reply.
  auto Handle(const AccountReport& report, std::vector<RemoteCharge>& charges)
      -> AccountReply;

  // As reporter: stores the coordinator's reply and returns the charges to make
  // on this router.
  auto Handle(const AccountReply& reply) -> std::vector<RemoteCharge>;

  // Removes the sums of a dead router.
  auto RemoveRouter(const RouterId& router) -> void;

 private:
  using Key = std::pair<CustomerId, PoolId>;

  struct LocalSum {
    Weight weight;
    // Service that this router gave, now and as last reported.
    Cost served;
    Cost reported;
    // The last reply: who sent it, and the sum of all other routers.
    RouterId coordinator;
    Cost others;
  };

  // The service that all routers but `router` gave.
  auto SumOfOthers(const Key& key, const RouterId& router) const -> Cost;

  RouterId self_;
  std::map<Key, LocalSum> local_;
  // As coordinator: the newest sum of each reporting router.
  std::map<Key, std::map<RouterId, Cost>> reported_;
};

}  // namespace papayaplank

#endif  // ROUTER_ACCOUNT_EXCHANGE_H_
