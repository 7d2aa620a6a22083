// How an attempt at a target ended, and whether the request ran there.
#ifndef DISPATCH_ATTEMPT_H_
#define DISPATCH_ATTEMPT_H_

#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace papayaplank {

// Whether a request was carried out at a target. `kNo` is said only where no
// byte could have reached one, or the target refused before it began.
enum class Ran { kNo, kUnknown, kYes };

// "no", "unknown" or "yes", as it stands in answers.
auto RanName(Ran ran) -> std::string_view;

// How an attempt ended.
enum class AttemptResult {
  kComplete,    // The whole answer arrived.
  kRefused,     // The target said that it did not begin (429, 503).
  kNotReached,  // No connection; no byte was sent.
  kBroken,      // The connection ended before the whole answer.
  kSilent,      // No progress within the timeout.
  kCrossed,     // The answer belongs to another request.
  kCancelled,   // This router ended it.
};

// Name of a result, as it stands in metrics and logs.
auto AttemptResultName(AttemptResult result) -> std::string_view;

// The end of an attempt, as the shell saw it.
struct AttemptReport {
  AttemptResult result = AttemptResult::kComplete;
  // HTTP status of the target; 0 if none arrived.
  int status = 0;
  // Tokens relayed by this attempt.
  int tokens = 0;
  // Cost that the target stated, or tokens counted; units of cost.
  Cost cost;
  // Whether the head of the answer has gone to the caller.
  bool has_caller_seen_head = false;
  // Whether the stream can go on at another target after the last token.
  bool is_resumable = false;
};

// Whether a request may have run after an attempt that ended so.
auto RanAfter(AttemptResult result) -> Ran;

}  // namespace papayaplank

#endif  // DISPATCH_ATTEMPT_H_
