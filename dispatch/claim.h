// At most once across routers: a request with an idempotency key is claimed
// by a row in the table service before it is sent. A claim is never given to
// another holder; its own holder may release it if the request did not run.
#ifndef DISPATCH_CLAIM_H_
#define DISPATCH_CLAIM_H_

#include <optional>
#include <string>

#include "dispatch/attempt.h"

namespace papayaplank {

// State of a claim row.
enum class ClaimState {
  kClaimed,   // The holder may send it, once.
  kReleased,  // The holder has given up without sending; anyone may claim.
  kDone,      // It was sent and ended; the outcome is stored.
};

// A claim row as it stands in the table service.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  // Unique for each try to claim, so that a lost answer is recognised.
  std::string operation_id;
  // HTTP status and body of the answer once done; 0 if it is not known.
  int status = 0;
  std::string body;
};

// What a router may do after it has read the row.
enum class ClaimDecision {
  kWrite,       // No row or a released one: try to write a claim.
  kSend,        // The row holds this router's own operation: send it.
  kReplay,      // Done: answer with the stored outcome.
  kInProgress,  // Somebody else's claim: the outcome is unknown.
};

// Decides from the row that was read and this try's operation id.
auto DecideClaim(const std::optional<ClaimRow>& row,
                 const std::string& operation_id) -> ClaimDecision;

// A row as JSON text, and back; nothing if the text is no claim row.
auto ClaimRowToText(const ClaimRow& row) -> std::string;
auto ClaimRowFromText(const std::string& text) -> std::optional<ClaimRow>;

}  // namespace papayaplank

#endif  // DISPATCH_CLAIM_H_
