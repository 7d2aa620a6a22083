// The queue of one pool at one router. The backlogged customer that has
// received the least service per weight goes next: start-time fair queueing
// (Goyal, Vin, Cheng, 1996) with costs known late, as in the Virtual Token
// Counter (Sheng et al., OSDI 2024).
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
  // The answer must begin by then; later it is refused as not run.
  Time deadline{};
};

// Who waits at a pool, for peers and status.
struct Backlog {
  int interactive = 0;
  int batch = 0;
  // Sum of the weights of the customers that wait.
  double weight = 0;

  auto total() const -> int { return interactive + batch; }
};

// Accounts and waiting requests of one pool.
class PoolQueue {
 public:
  // `catch_up_limit` bounds how far behind the virtual time a customer or a
  // whole router may start, so that catching up starves nobody.
  explicit PoolQueue(VirtualTime catch_up_limit);

  // Requests.
  auto Push(QueuedRequest request) -> void;
  // Takes the next request and charges its estimate.
  auto Pop(bool interactive_only) -> std::optional<QueuedRequest>;
  // Takes a waiting request out without a charge; false if it is not here.
  auto Remove(const RequestId& id) -> bool;
  // Takes out the requests whose deadline has passed.
  auto RemoveExpired(Time now) -> std::vector<QueuedRequest>;
  // Puts a popped request back at the front and refunds its charge.
  auto PutBack(QueuedRequest request) -> void;

  // Accounts. `change` may be negative.
  auto Charge(const CustomerId& customer, Weight weight, Cost change) -> void;
  // Moves this router's virtual time up to the fleet's less the catch-up
  // limit; the order among its customers stays.
  auto AdvanceVirtualTime(VirtualTime fleet) -> void;

  // State.
  auto virtual_time() const -> VirtualTime;
  auto backlog() const -> Backlog;
  auto HasWork(bool interactive_only) const -> bool;
  auto QueuedCount(const CustomerId& customer) const -> int;
  auto CustomerVirtualTime(const CustomerId& customer) const -> VirtualTime;
  // The newest batch, else interactive, request of the customer that is
  // furthest above its share: the first to shed.
  auto ShedCandidate() const -> std::optional<RequestId>;

 private:
  struct Account {
    VirtualTime service;
    Weight weight;
    std::deque<QueuedRequest> interactive;
    std::deque<QueuedRequest> batch;

    auto is_backlogged() const -> bool {
      return !interactive.empty() || !batch.empty();
    }
  };
  using Order = std::set<std::pair<VirtualTime, CustomerId>>;

  // Takes the customer out of the orders before its account changes, and
  // puts it back afterwards.
  auto Unlist(const CustomerId& customer, const Account& account) -> void;
  auto List(const CustomerId& customer, const Account& account) -> void;
  auto AccountFor(const QueuedRequest& request) -> Account&;
  auto ForgetIdleAccounts() -> void;

  VirtualTime catch_up_limit_;
  // Never falls. No backlogged customer's account is below it by more than
  // `catch_up_limit_`.
  VirtualTime floor_;
  std::map<CustomerId, Account> accounts_;
  // Exactly the backlogged customers, least served first.
  Order backlogged_;
  // Exactly the customers with an interactive request waiting.
  Order interactive_;
  std::map<RequestId, CustomerId> waiting_;
  int interactive_count_ = 0;
};

}  // namespace papayaplank

#endif  // FAIRNESS_POOL_QUEUE_H_
