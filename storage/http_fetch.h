// Hook through which the clients of the platform (table service, object store
// and instance list) make HTTP requests.
#ifndef STORAGE_HTTP_FETCH_H_
#define STORAGE_HTTP_FETCH_H_

#include <functional>
#include <string>

#include "base/base.h"

namespace papayaplank {

// A request to a service of the platform.
struct HttpRequest {
  std::string method = "GET";
  // IP address and port, "IP:port".
  std::string address;
  // Path with its query.
  std::string path;
  std::string body;
  // Value of the Authorization header; empty for none.
  std::string authorization;
  Duration timeout = seconds(2);
};

// The complete answer to a request.
struct HttpResponse {
  int status = 0;
  std::string body;
};

// Makes one request and waits for the complete answer, whatever its status.
// Errors: `kUnavailable` if no byte was sent, `kUnknownEffect` after a timeout
// or if the answer was lost.
using HttpFetch = std::function<Outcome<HttpResponse>(const HttpRequest&)>;

}  // namespace papayaplank

#endif  // STORAGE_HTTP_FETCH_H_
