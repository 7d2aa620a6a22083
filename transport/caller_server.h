// The callers' HTTP server over libmicrohttpd. A request that waits for its
// answer holds a suspended connection, not a thread.
#ifndef TRANSPORT_CALLER_SERVER_H_
#define TRANSPORT_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "transport/answer_buffer.h"
#include "transport/http_service.h"

namespace papayaplank {

// A whole request of a caller whose key is known.
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

struct CallerServerOptions {
  // IP number and port.
  std::string address;
  std::size_t max_body_bytes = 4UL << 20;
  // Longest time without progress of a connection that the caller holds up.
  unsigned idle_seconds = 120;
  unsigned max_connections = 8192;
};

struct CallerServerHooks {
  // The customer of an API key; null if the key is unknown. Called on the
  // server's task.
  std::function<std::shared_ptr<const Customer>(const std::string& key)>
      authenticate;
  // Takes a request; the answer goes through its answer.
  std::function<void(CallerRequest)> on_request;
  // The caller went away before its answer was whole.
  std::function<void(const RequestId&)> on_cancel;
  // Answers the server's own paths, such as /v1/addresses, at once; a
  // status of 0 means that the path is not one of them. `customer` is null
  // without a known key.
  std::function<HttpAnswer(const HttpCall&, const Customer* customer)>
      answer_locally;
};

// An error answer in the form that all callers get.
auto FormatErrorBody(const RequestId& id, const std::string& type,
                     const std::string& message, const std::string& ran)
    -> std::string;

// Accepts callers until it is destroyed.
class CallerServer {
 public:
  static auto Open(const CallerServerOptions& options, CallerServerHooks hooks)
      -> Outcome<std::unique_ptr<CallerServer>>;
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;

  // From now on every answer closes its connection.
  auto CloseAfterAnswers() -> void;

  // Stops accepting connections; open ones go on.
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
