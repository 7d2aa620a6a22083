// Messages between routers. Those of failure detection and slot lending are
// defined in membership/ and capacity/.
#ifndef ROUTER_PEER_MESSAGES_H_
#define ROUTER_PEER_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "capacity/capacity.h"
#include "membership/membership.h"

namespace papayaplank {

// State of one pool at one router, spread by gossip.
struct PoolSummary {
  RouterId router;
  PoolId pool;
  // Raised by `router` at each new summary.
  std::uint64_t sequence = 0;
  VirtualTime virtual_time;
  // Sum of the weights of the customers with requests waiting there.
  double backlog_weight = 0;
  // Free shared slots of the targets that `router` owns.
  int free_slots = 0;
};

// The newest summaries that the sender has, its own and those of other routers.
struct StateGossip {
  std::vector<PoolSummary> summaries;
};

// Service that a customer received in a pool: in a report from the sender, in a
// reply from all routers but the receiver. Cumulative since the start of the
// routers that gave it.
struct AccountEntry {
  CustomerId customer;
  PoolId pool;
  Weight weight;
  Cost served;
};

// Sent to the coordinator of the accounts: the service that `router` gave.
struct AccountReport {
  RouterId router;
  std::vector<AccountEntry> entries;
};

// Answer to a report: the service that all other routers gave.
struct AccountReply {
  RouterId coordinator;
  std::vector<AccountEntry> entries;
};

using PeerMessage =
    std::variant<Ping, Ack, SlotDemand, LeaseUpdates, LeaseReport, StateGossip,
                 AccountReport, AccountReply>;

}  // namespace papayaplank

#endif  // ROUTER_PEER_MESSAGES_H_
