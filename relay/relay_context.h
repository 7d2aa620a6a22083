// Objects that all parts of the relay share. Used on one thread only.
#ifndef RELAY_RELAY_CONTEXT_H_
#define RELAY_RELAY_CONTEXT_H_

#include <functional>
#include <unordered_set>

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"
#include "relay/permit_waits.h"
#include "relay/request_metrics.h"
#include "relay/target_connection_pool.h"
#include "relay/target_exit_check.h"

namespace papayaplank {

class RelayedRequest;

// Outlives every `RelayedRequest`.
struct RelayContext {
  asio::io_context& io;
  GatewayCore& core;
  EventLog& log;
  TargetConnectionPool& target_connections;
  RequestMetrics& metrics;
  PermitWaits& permit_waits;
  // Sends the core's requests for permits.
  std::function<void()> send_permit_requests;
  // Whether the event loop stood still, so that what it handles now may have
  // arrived long ago.
  std::function<bool(Time since)> has_stood_still;
  // How targets ended whose last answers ended with them.
  TargetExitCheck& exit_check;
  // What the router holds for others.
  MemoryBudget& budget;
  // Requests that have arrived and whose answer has not been written.
  std::unordered_set<RelayedRequest*> open_requests{};
  // Bytes of answers that all requests hold back until they can be relayed.
  std::size_t held_answer_bytes = 0;
};

}  // namespace papayaplank

#endif  // RELAY_RELAY_CONTEXT_H_
