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
  int free_slots = 0;
};

// The newest summaries that the sender has, its own and those of other routers.
struct StateGossip {
  std::vector<PoolSummary> summaries;
};

// Service that a customer received; cumulative since the sender's start.
struct AccountEntry {
  CustomerId customer;
  PoolId pool;
  Weight weight;
  Cost served;
};

// A router reports the service that it gave to the coordinator of the accounts.
struct AccountReport {
  RouterId router;
  std::vector<AccountEntry> entries;
};

// The coordinator returns the service that all other routers gave.
struct AccountReply {
  RouterId coordinator;
  std::vector<AccountEntry> entries;
};

using PeerMessage =
    std::variant<Ping, Ack, SlotDemand, LeaseUpdates, LeaseReport, StateGossip,
                 AccountReport, AccountReply>;

}  // namespace papayaplank

#endif  // ROUTER_PEER_MESSAGES_H_
