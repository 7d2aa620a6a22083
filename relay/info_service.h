// Answers to questions about the router itself: readiness, addresses for
// callers, metrics.
#ifndef RELAY_INFO_SERVICE_H_
#define RELAY_INFO_SERVICE_H_

#include <memory>
#include <string>

#include "relay/http_connection.h"
#include "relay/relay_context.h"

namespace papayaplank {

// Answers one such request.
auto AnswerInfoRequest(const RelayContext& context,
                       const std::shared_ptr<HttpConnection>& caller,
                       const HttpServerRequest& request) -> void;

}  // namespace papayaplank

#endif  // RELAY_INFO_SERVICE_H_
