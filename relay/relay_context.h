// What the parts of the relay share; all of it lives on one task.
#ifndef RELAY_RELAY_CONTEXT_H_
#define RELAY_RELAY_CONTEXT_H_

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"
#include "relay/request_metrics.h"
#include "relay/target_pool.h"

namespace papayaplank {

// Outlives every exchange.
struct RelayContext {
  asio::io_context& io;
  GatewayCore& core;
  EventLog& log;
  TargetPool& pool;
  RequestMetrics& metrics;
  // Requests whose answer is not complete.
  std::size_t open_exchanges = 0;
};

}  // namespace papayaplank

#endif  // RELAY_RELAY_CONTEXT_H_
