// Names of error codes.
#include "base/outcome.h"

namespace papayaplank {

auto ErrorCodeName(ErrorCode code) -> std::string_view {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownEffect:
      return "unknown_effect";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
  }
  return "unknown";
}

}  // namespace papayaplank
