// Accounts of customers that several routers serve. One router, the holder,
// adds up what each of them served; each then charges what the others did.
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

// A message to the holder of accounts.
struct AddressedAccounts {
  RouterId holder;
  AccountReport report;
};

// Sums of service per customer, pool and router. All sums are cumulative, so
// a lost or repeated message changes nothing in the end.
class AccountExchange {
 public:
  // The router that holds a customer's account.
  using HolderOf = std::function<RouterId(const CustomerId&)>;

  explicit AccountExchange(RouterId self) : self_(std::move(self)) {}

  // Adds service that this router gave; `cost` may correct an earlier one.
  auto AddLocal(const CustomerId& customer, const PoolId& pool, Weight weight,
                Cost cost) -> void;

  // Reports of the largest unreported sums, at most `limit` entries.
  auto MakeReports(const HolderOf& holder_of, std::size_t limit)
      -> std::vector<AddressedAccounts>;

  // As holder: takes a report, tells what to charge here and what to answer.
  auto Handle(const AccountReport& report, std::vector<RemoteCharge>& charges)
      -> AccountReply;

  // As reporter: takes the holder's answer.
  auto Handle(const AccountReply& reply) -> std::vector<RemoteCharge>;

  // Forgets the sums of a dead router.
  auto Forget(const RouterId& router) -> void;

 private:
  using Key = std::pair<CustomerId, PoolId>;

  struct LocalSum {
    Weight weight;
    Cost served;
    Cost reported;
    // Sum of all other routers, as the holder last told.
    RouterId holder;
    Cost others;
  };

  auto OthersOf(const Key& key, const RouterId& router) const -> Cost;

  RouterId self_;
  std::map<Key, LocalSum> local_;
  // As holder: the newest sum of each reporting router.
  std::map<Key, std::map<RouterId, Cost>> reported_;
};

}  // namespace papayaplank

#endif  // ROUTER_ACCOUNT_EXCHANGE_H_
