// Blocking HTTP client over libcurl.
#ifndef TRANSPORT_BLOCKING_HTTP_CLIENT_H_
#define TRANSPORT_BLOCKING_HTTP_CLIENT_H_

#include <memory>

#include "storage/storage.h"

namespace papayaplank {

// An HTTP client with a connection cache of its own. Not thread-safe: one task
// uses it.
class BlockingHttpClient {
 public:
  BlockingHttpClient();
  ~BlockingHttpClient();
  BlockingHttpClient(const BlockingHttpClient&) = delete;
  auto operator=(const BlockingHttpClient&) -> BlockingHttpClient& = delete;

  // Makes one request; an answer with any status is a success. Errors:
  // `kUnavailable` if the server could not be connected to, `kUnknownEffect`
  // after a timeout or if the answer was lost, incomplete or too long.
  auto Fetch(const HttpRequest& request) -> Outcome<HttpResponse>;

 private:
  struct Handle;
  std::unique_ptr<Handle> handle_;
};

// Returns a fetch hook with a client of its own, for the storage clients of one
// task.
auto MakeHttpFetch() -> HttpFetch;

}  // namespace papayaplank

#endif  // TRANSPORT_BLOCKING_HTTP_CLIENT_H_
