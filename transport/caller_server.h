// HTTP server for callers over libmicrohttpd. A request that waits for its
// answer occupies a suspended connection, not a thread.
#ifndef TRANSPORT_CALLER_SERVER_H_
#define TRANSPORT_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "transport/answer_buffer.h"
#include "transport/held_bodies.h"
#include "transport/http_service.h"

namespace papayaplank {

// A complete request of an authenticated caller.
struct CallerRequest {
  std::shared_ptr<const Customer> customer;
  std::string method;
  // Path with its query, as the caller sent it.
  std::string path;
  // End-to-end headers to pass on; the caller's credentials are left out.
  std::vector<HttpHeader> headers;
  std::string class_header;
  std::string idempotency_key;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<AnswerBuffer> answer;
};

// Address and limits of the server.
struct CallerServerOptions {
  // IPv4 address and port, "IP:port".
  std::string address;
  std::size_t max_body_bytes = 4UL << 20;
  // A connection is closed after this time without progress on the caller's
  // side.
  unsigned idle_seconds = 120;
  unsigned max_connections = 8192;
  // Counts the bodies of callers; required.
  std::shared_ptr<HeldBodies> held_bodies;
};

// Callbacks of the server, called on its threads.
struct CallerServerHooks {
  // The customer of an API key; null if the key is unknown.
  std::function<std::shared_ptr<const Customer>(const std::string& key)>
      authenticate;
  // Receives a request; its answer is written to `CallerRequest::answer`.
  std::function<void(CallerRequest)> on_request;
  // The connection ended before the answer was complete: the caller
  // disconnected, or the answer was aborted after its head was sent.
  std::function<void(const RequestId&)> on_cancel;
  // Answers the server's own paths, such as /v1/addresses, at once; a
  // status of 0 means that the path is not one of them. `customer` is null
  // without a known key.
  std::function<HttpAnswer(const HttpCall&, const Customer* customer)>
      answer_locally;
};

// Formats the JSON body of an error answer. `type` names the error for
// programs; `ran` says whether the request ran: "no", "yes" or "unknown".
auto FormatErrorBody(const RequestId& id, const std::string& type,
                     const std::string& message, const std::string& ran)
    -> std::string;

// Serves callers until it is destroyed.
class CallerServer {
 public:
  // Errors: `kInvalidArgument` for a malformed address, `kUnavailable` if it
  // cannot listen there.
  static auto Open(const CallerServerOptions& options, CallerServerHooks hooks)
      -> Outcome<std::unique_ptr<CallerServer>>;
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;

  // Requests that were passed on and whose answer is not sent.
  auto open_requests() const -> std::size_t;
  // Makes each later answer close its connection.
  auto CloseAfterAnswers() -> void;

  // Stops accepting connections; open ones stay open.
  auto StopListening() -> void;

  // Connections that are open now.
  auto open_connections() const -> unsigned;

 private:
  class Server;
  explicit CallerServer(std::unique_ptr<Server> server);

  std::unique_ptr<Server> server_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_CALLER_SERVER_H_
