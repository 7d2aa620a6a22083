// Blocking requests over a libcurl easy handle.
#include "transport/blocking_http_client.h"

#include <curl/curl.h>

#include <algorithm>

namespace papayaplank {
namespace {

// A longer answer is an error.
constexpr std::size_t kMaxAnswerBytes = 256UL << 20;
constexpr long kMaxConnectMilliseconds = 1000;  // NOLINT: libcurl's type
constexpr long kMaxConnectionAgeSeconds = 30;   // NOLINT: libcurl's type

auto AppendBody(char* data, std::size_t size, std::size_t count, void* user)
    -> std::size_t {
  auto* body = static_cast<std::string*>(user);
  if (body->size() + size * count > kMaxAnswerBytes) return 0;
  body->append(data, size * count);
  return size * count;
}

auto ErrorFor(CURLcode code, const HttpRequest& request) -> Error {
  const auto is_unreached = code == CURLE_COULDNT_CONNECT ||
                            code == CURLE_URL_MALFORMAT ||
                            code == CURLE_COULDNT_RESOLVE_HOST;
  return Error{
      is_unreached ? ErrorCode::kUnavailable : ErrorCode::kUnknownEffect,
      request.method + " http://" + request.address + request.path +
          " failed: " + curl_easy_strerror(code)};
}

}  // namespace

struct BlockingHttpClient::Handle {
  CURL* curl = curl_easy_init();
  ~Handle() { curl_easy_cleanup(curl); }
};

BlockingHttpClient::BlockingHttpClient()
    : handle_(std::make_unique<Handle>()) {}
BlockingHttpClient::~BlockingHttpClient() = default;

auto BlockingHttpClient::Fetch(const HttpRequest& request)
    -> Outcome<HttpResponse> {
  auto* curl = handle_->curl;
  curl_easy_reset(curl);
  const auto url = "http://" + request.address + request.path;
  const auto timeout = static_cast<long>(  // NOLINT: libcurl's type
      std::chrono::duration_cast<milliseconds>(request.timeout).count());
  HttpResponse response;
  // An empty "Expect:" keeps libcurl from sending "Expect: 100-continue".
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  headers = curl_slist_append(headers, "Content-Type: application/json");
  if (!request.authorization.empty()) {
    const auto header = "Authorization: " + request.authorization;
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  if (request.method != "GET") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
    // libcurl retries a request when a reused connection turns out to be
    // closed; a write must not be sent twice.
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   std::min(timeout, kMaxConnectMilliseconds));
  curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, kMaxConnectionAgeSeconds);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  const auto code = curl_easy_perform(curl);
  curl_slist_free_all(headers);
  if (code != CURLE_OK) return ErrorFor(code, request);
  long status = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  return response;
}

auto MakeHttpFetch() -> HttpFetch {
  auto client = std::make_shared<BlockingHttpClient>();
  return
      [client](const HttpRequest& request) { return client->Fetch(request); };
}

}  // namespace papayaplank
