// Objects that all parts of the relay share. Used on one thread only.
#ifndef RELAY_RELAY_CONTEXT_H_
#define RELAY_RELAY_CONTEXT_H_

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"
#include "relay/request_metrics.h"
#include "relay/target_connection_pool.h"

namespace papayaplank {

// Outlives every `RelayedRequest`.
struct RelayContext {
  asio::io_context& io;
  GatewayCore& core;
  EventLog& log;
  TargetConnectionPool& target_connections;
  RequestMetrics& metrics;
  // Number of requests whose answer has not ended.
  std::size_t open_requests = 0;
};

}  // namespace papayaplank

#endif  // RELAY_RELAY_CONTEXT_H_
