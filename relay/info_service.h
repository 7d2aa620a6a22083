// Answers to questions about the router itself: readiness, addresses for
// callers, metrics, and what it knows for a peer.
#ifndef RELAY_INFO_SERVICE_H_
#define RELAY_INFO_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "relay/http_connection.h"
#include "relay/relay_context.h"

namespace papayaplank {

// What the answers are made of.
struct InfoSources {
  RelayContext& context;
  // Calls of the store since the start.
  std::function<std::uint64_t()> store_calls;
};

// Readiness and addresses, for callers and the platform.
auto AnswerEntryRequest(const InfoSources& sources,
                        const std::shared_ptr<HttpConnection>& caller,
                        const HttpServerRequest& request) -> void;

// Metrics, for the operators.
auto AnswerMetricsRequest(const InfoSources& sources,
                          const std::shared_ptr<HttpConnection>& caller,
                          const HttpServerRequest& request) -> void;

// What this router knows, for peers only: the configuration holds keys.
auto AnswerSnapshotRequest(const InfoSources& sources,
                           const std::shared_ptr<HttpConnection>& caller,
                           const HttpServerRequest& request) -> void;

}  // namespace papayaplank

#endif  // RELAY_INFO_SERVICE_H_
