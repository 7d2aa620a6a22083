// How an attempt at a target ended, and whether the request ran there.
#ifndef DISPATCH_ATTEMPT_H_
#define DISPATCH_ATTEMPT_H_

#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace papayaplank {

// Whether a request ran at a target. `kNo` is certain: no byte can have reached
// the target, or the target refused the request before it began.
enum class Ran { kNo, kUnknown, kYes };

// "no", "unknown" or "yes", as used in answers.
auto RanName(Ran ran) -> std::string_view;

// How an attempt ended.
enum class AttemptResult {
  kComplete,    // The complete answer arrived.
  kRefused,     // The target refused it before it began (429, 503).
  kNotReached,  // No connection; no byte was sent.
  kBroken,      // The connection ended before the complete answer.
  kSilent,      // No progress within the timeout.
  kCrossed,     // The answer belongs to another request.
  kCancelled,   // This router cancelled it.
};

// Name of a result in metrics and logs.
auto AttemptResultName(AttemptResult result) -> std::string_view;

// The end of an attempt, as reported by the I/O layer.
struct AttemptReport {
  AttemptResult result = AttemptResult::kComplete;
  // HTTP status of the target; 0 if none arrived.
  int status = 0;
  // Tokens relayed by this attempt.
  int tokens = 0;
  // Cost that the target reported, or else the number of tokens relayed.
  Cost cost;
  // Whether the answer's head has been sent to the caller.
  bool has_caller_seen_head = false;
  // Whether another target can continue the stream after the last token.
  bool is_resumable = false;
};

// Whether the request ran, as far as the result of the attempt shows.
auto RanAfter(AttemptResult result) -> Ran;

}  // namespace papayaplank

#endif  // DISPATCH_ATTEMPT_H_
