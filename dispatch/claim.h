// At-most-once execution across routers: before a request with an idempotency
// key is sent, a row in the table service claims the key for it. A claim is
// never transferred; its holder may release it if the request did not run.
#ifndef DISPATCH_CLAIM_H_
#define DISPATCH_CLAIM_H_

#include <optional>
#include <string>

#include "dispatch/attempt.h"

namespace papayaplank {

// State of a claim row.
enum class ClaimState {
  kClaimed,   // The holder may send it, once.
  kReleased,  // The request did not run; anyone may claim the key.
  kDone,      // It was sent and ended; the outcome is stored.
};

// A claim row of the table service.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  // Unique for each try to claim the key. If the answer to a write is lost, it
  // shows whether that write made the row.
  std::string operation_id;
  // HTTP status and body of the answer once done; the status is 0 if unknown.
  int status = 0;
  std::string body;
};

// What a router may do after it has read the row.
enum class ClaimDecision {
  kWrite,       // No row or a released one: try to write a claim.
  kSend,        // The row holds this router's own operation: send it.
  kReplay,      // Done: answer with the stored outcome.
  kInProgress,  // Claimed by another request: the outcome is unknown.
};

// Decides from the row that was read and this try's operation id.
auto DecideClaim(const std::optional<ClaimRow>& row,
                 const std::string& operation_id) -> ClaimDecision;

// Convert a row to JSON text and back. `ClaimRowFromText` returns no row if the
// text is not a valid one.
auto ClaimRowToText(const ClaimRow& row) -> std::string;
auto ClaimRowFromText(const std::string& text) -> std::optional<ClaimRow>;

}  // namespace papayaplank

#endif  // DISPATCH_CLAIM_H_
