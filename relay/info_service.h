// Requests about the router itself: readiness, router addresses for callers,
// metrics, and the snapshot for peers.
#ifndef RELAY_INFO_SERVICE_H_
#define RELAY_INFO_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "relay/http_connection.h"
#include "relay/relay_context.h"

namespace papayaplank {

// Sources of the data in the answers.
struct InfoSources {
  RelayContext& context;
  // Number of calls to the store since the start.
  std::function<std::uint64_t()> store_calls;
};

// Readiness for the platform, and router addresses for callers. The status is
// 503 while this router is not ready, is stopping, or knows no address, and 404
// for any other path.
auto AnswerDiscoveryRequest(const InfoSources& sources,
                            const std::shared_ptr<HttpConnection>& caller,
                            const HttpServerRequest& request) -> void;

// Metrics, for the operators. The status is 404 for any other path.
auto AnswerMetricsRequest(const InfoSources& sources,
                          const std::shared_ptr<HttpConnection>& caller,
                          const HttpServerRequest& request) -> void;

// Configuration and targets of this router. For peers only, since the
// configuration contains API keys. The status is 503 while this router has no
// configuration, and 404 for any other path.
auto AnswerSnapshotRequest(const InfoSources& sources,
                           const std::shared_ptr<HttpConnection>& caller,
                           const HttpServerRequest& request) -> void;

}  // namespace papayaplank

#endif  // RELAY_INFO_SERVICE_H_
