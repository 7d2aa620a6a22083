// A small HTTP server over libmicrohttpd that answers whole requests at once:
// the operators' and peers' port, and the stand-ins.
#ifndef TRANSPORT_HTTP_SERVICE_H_
#define TRANSPORT_HTTP_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A whole request. Header names are in lower case.
struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct HttpAnswer {
  // A status of 0 closes the connection without an answer.
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

struct HttpServiceOptions {
  // IP number and port.
  std::string address;
  std::size_t max_body_bytes = 64UL << 20;
  unsigned threads = 4;
};

// Serves calls on its own threads until it is destroyed.
class HttpService {
 public:
  // Answers one call; called on several threads at once.
  using Handler = std::function<HttpAnswer(const HttpCall&)>;

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
