// What one answer of a target says of the target itself.
#ifndef ADMISSION_TARGET_STATEMENT_H_
#define ADMISSION_TARGET_STATEMENT_H_

#include <optional>

#include "admission/target_limits.h"

namespace papayaplank {

struct TargetStatement {
  // Requests per second that the target takes from all routers together;
  // nothing if it names no limit.
  std::optional<RequestRate> limit;
  // It leaves: it wants no further requests.
  bool is_leaving = false;
  // It turned the request away and wants nothing from this router for so long.
  std::optional<Duration> pause;
  // These were stated but can't be read; they change nothing.
  bool is_limit_malformed = false;
  bool is_leaving_malformed = false;
  bool is_pause_malformed = false;
  // Neither its signature nor a refusal before execution shows that the target
  // wrote it, so a limit that it doesn't name may hold all the same.
  bool is_unconfirmed = false;
};

}  // namespace papayaplank

#endif  // ADMISSION_TARGET_STATEMENT_H_
