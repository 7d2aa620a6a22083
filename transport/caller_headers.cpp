// Reading of callers' headers.
#include "transport/caller_headers.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <vector>

namespace papayaplank {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;

}  // namespace

auto ToLower(std::string text) -> std::string {
  for (auto& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

auto IsHiddenFromTargets(const std::string& lower_name) -> bool {
  static const std::vector<std::string> kHiddenHeaders = {
      "authorization",
      "connection",
      "keep-alive",
      "transfer-encoding",
      "te",
      "trailer",
      "upgrade",
      "proxy-connection",
      "content-length",
      "host",
      "expect",
      "x-request-id",
      "x-papayaplank-ran",
      "x-papayaplank-class",
      "accept-encoding",
      "x-resume-after-tokens"};
  return std::find(kHiddenHeaders.begin(), kHiddenHeaders.end(), lower_name) !=
         kHiddenHeaders.end();
}

auto RefuseCoding(const HttpCall& call, bool is_http_1_0) -> int {
  const auto found = call.headers.find(kTransferEncoding);
  if (found == call.headers.end()) return 0;
  const auto codings = ToLower(found->second);
  if (codings == "chunked") return is_http_1_0 ? kBadRequest : 0;
  // Unless chunks come last, the end of the body can't be told.
  constexpr std::string_view kChunksLast = ", chunked";
  const auto can_be_read = codings.size() > kChunksLast.size() &&
                           codings.compare(codings.size() - kChunksLast.size(),
                                           std::string::npos, kChunksLast) == 0;
  return can_be_read ? kNotImplemented : kBadRequest;
}

auto ParseBearerKey(const HttpCall& call) -> std::string {
  const auto found = call.headers.find("authorization");
  if (found == call.headers.end()) return "";
  constexpr std::string_view kScheme = "Bearer ";
  const auto& value = found->second;
  if (strncasecmp(value.c_str(), kScheme.data(), kScheme.size()) != 0) {
    return "";
  }
  return value.substr(kScheme.size());
}

}  // namespace papayaplank
