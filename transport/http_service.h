// Small HTTP server over libmicrohttpd whose handler answers a complete request
// in one step; used for the operator service and by the stand-ins that replace
// targets and platform services in tests.
#ifndef TRANSPORT_HTTP_SERVICE_H_
#define TRANSPORT_HTTP_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A complete request that the server received. Header names are in lower case.
struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

// The answer to a request.
struct HttpAnswer {
  // A status of 0 closes the connection without an answer; for
  // `CallerServerHooks::answer_locally`, it has another meaning.
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Address and limits of the server.
struct HttpServiceOptions {
  // IPv4 address and port, "IP:port".
  std::string address;
  std::size_t max_body_bytes = 64UL << 20;
  unsigned threads = 4;
};

// Serves requests on its own threads until it is destroyed.
class HttpService {
 public:
  // Answers one request; called on several threads concurrently.
  using Handler = std::function<HttpAnswer(const HttpCall&)>;

  // Errors: `kInvalidArgument` for a malformed address, `kUnavailable` if it
  // cannot listen there.
  static auto Open(const HttpServiceOptions& options, Handler handler)
      -> Outcome<std::unique_ptr<HttpService>>;
  ~HttpService();
  HttpService(const HttpService&) = delete;
  auto operator=(const HttpService&) -> HttpService& = delete;

 private:
  struct Server;
  explicit HttpService(std::unique_ptr<Server> server);

  std::unique_ptr<Server> server_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_HTTP_SERVICE_H_
