// The queue of one pool at one router. The customer with waiting requests that
// has received the least service per weight is served next: start-time fair
// queueing (Goyal, Vin, Cheng, 1996). The cost of a request is known only after
// it has started, as in the Virtual Token Counter (Sheng et al., OSDI 2024).
#ifndef FAIRNESS_POOL_QUEUE_H_
#define FAIRNESS_POOL_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A request that waits for a slot.
struct QueuedRequest {
  RequestId id;
  CustomerId customer;
  Weight weight;
  bool is_interactive = true;
  // Charged to the customer's account when the request starts.
  Cost estimate;
  Time queued_at{};
  // A request that has not started by then fails.
  Time deadline{};
};

// Numbers of waiting requests of a pool, for peers and status.
struct Backlog {
  int interactive = 0;
  int batch = 0;
  // Sum of the weights of the customers with waiting requests.
  double weight = 0;

  auto total() const -> int { return interactive + batch; }
};

// Accounts and waiting requests of one pool.
class PoolQueue {
 public:
  // `catch_up_limit` bounds how far the virtual time of this router may lag
  // behind the fleet's, so that its catching up starves nobody.
  explicit PoolQueue(VirtualTime catch_up_limit);

  // Requests.
  auto Push(QueuedRequest request) -> void;
  // Removes and returns the next request, and charges its estimate. Returns
  // none if no such request waits.
  auto Pop(bool interactive_only) -> std::optional<QueuedRequest>;
  // Removes a waiting request without a charge. Returns false if it is not
  // queued here.
  auto Remove(const RequestId& id) -> bool;
  // Removes and returns the requests whose deadline has passed.
  auto RemoveExpired(Time now) -> std::vector<QueuedRequest>;
  // Puts a popped request back at the front and refunds its charge.
  auto PutBack(QueuedRequest request) -> void;

  // Accounts. `change` may be negative.
  auto Charge(const CustomerId& customer, Weight weight, Cost change) -> void;
  // Raises this router's virtual time to `fleet`, the fleet's virtual time,
  // less the catch-up limit. All accounts rise by the same amount, so the order
  // of customers stays.
  auto AdvanceVirtualTime(VirtualTime fleet) -> void;

  // State.
  //
  // Service per weight of the backlogged customer that has received least;
  // while nothing waits, the value reached before.
  auto virtual_time() const -> VirtualTime;
  auto backlog() const -> Backlog;
  auto HasWork(bool interactive_only) const -> bool;
  auto QueuedCount(const CustomerId& customer) const -> int;
  auto CustomerVirtualTime(const CustomerId& customer) const -> VirtualTime;
  // The request to shed first: the newest batch request, or else the newest
  // interactive one, of the customer with the most waiting requests per weight.
  auto ShedCandidate() const -> std::optional<RequestId>;

 private:
  struct Account {
    // Service received, per unit of weight. Raised after idle time, which earns
    // no credit.
    VirtualTime service;
    Weight weight;
    std::deque<QueuedRequest> interactive;
    std::deque<QueuedRequest> batch;

    auto is_backlogged() const -> bool {
      return !interactive.empty() || !batch.empty();
    }
  };
  using Order = std::set<std::pair<VirtualTime, CustomerId>>;

  // The orders are keyed by accounts: a customer is removed before its account
  // changes and added again afterwards.
  auto RemoveFromOrders(const CustomerId& customer, const Account& account)
      -> void;
  auto AddToOrders(const CustomerId& customer, const Account& account) -> void;
  // The account of an arriving request's customer. If the customer was idle,
  // its account is raised to the virtual time.
  auto AccountForArrival(const QueuedRequest& request) -> Account&;
  auto DropIdleAccounts() -> void;

  VirtualTime catch_up_limit_;
  // The virtual time while nothing waits. Never falls. No backlogged customer's
  // account is below it by more than `catch_up_limit_`.
  VirtualTime virtual_time_floor_;
  std::map<CustomerId, Account> accounts_;
  // Exactly the backlogged customers, least served first.
  Order backlogged_order_;
  // Exactly the customers with an interactive request waiting.
  Order interactive_order_;
  std::map<RequestId, CustomerId> customer_by_request_;
  // Waiting requests that are interactive.
  int interactive_count_ = 0;
};

}  // namespace papayaplank

#endif  // FAIRNESS_POOL_QUEUE_H_
