// What the callers' server reads from a request's headers.
#ifndef TRANSPORT_CALLER_HEADERS_H_
#define TRANSPORT_CALLER_HEADERS_H_

#include <string>

#include "transport/http_service.h"

namespace papayaplank {

// Lower-case name of the header that says how a body is framed.
inline constexpr char kTransferEncoding[] = "transfer-encoding";

auto ToLower(std::string text) -> std::string;

// Whether a caller's header is not forwarded to targets.
auto IsHiddenFromTargets(const std::string& lower_name) -> bool;

// The status for a request whose body has other transfer codings than chunks;
// 0 if it has none.
auto RefuseCoding(const HttpCall& call, bool is_http_1_0) -> int;

// The key of the Authorization header; empty if there is none.
auto ParseBearerKey(const HttpCall& call) -> std::string;

}  // namespace papayaplank

#endif  // TRANSPORT_CALLER_HEADERS_H_
