// Messages between routers, beside those of membership and capacity.
#ifndef ROUTER_PEER_MESSAGES_H_
#define ROUTER_PEER_MESSAGES_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "capacity/capacity.h"
#include "membership/membership.h"

namespace papayaplank {

// One pool at one router, as gossip spreads it.
struct PoolSummary {
  RouterId router;
  PoolId pool;
  // Raised by `router` at each new summary.
  std::uint64_t sequence = 0;
  VirtualTime virtual_time;
  // Sum of the weights of the customers that wait there.
  double backlog_weight = 0;
  int free_slots = 0;
};

// Newest summaries that the sender knows.
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

// A router tells the holder of a customer's account what it served.
struct AccountReport {
  RouterId router;
  std::vector<AccountEntry> entries;
};

// The account holder tells a router what all others served.
struct AccountReply {
  RouterId holder;
  std::vector<AccountEntry> entries;
};

using PeerMessage =
    std::variant<Ping, Ack, SlotDemand, LeaseUpdates, LeaseReport, StateGossip,
                 AccountReport, AccountReply>;

}  // namespace papayaplank

#endif  // ROUTER_PEER_MESSAGES_H_
