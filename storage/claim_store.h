// Claims of idempotency keys in the table service, for requests that must not
// run twice.
#ifndef STORAGE_CLAIM_STORE_H_
#define STORAGE_CLAIM_STORE_H_

#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "storage/table_client.h"

namespace papayaplank {

// One attempt to claim a key.
struct ClaimRequest {
  std::string key;
  // Unique for this attempt; written into the row.
  std::string operation_id;
};

// Result of an attempt.
struct ClaimAttempt {
  // `kSend`, `kReplay` or `kInProgress`; `kWrite` means that the table
  // service did not confirm the claim; the request must not be sent.
  ClaimDecision decision = ClaimDecision::kWrite;
  ClaimRow row;
};

// Writes claims, their outcomes and their release.
class ClaimStore {
 public:
  explicit ClaimStore(TableClient table);

  // Claims many keys in few transactions. The answers are in the order of
  // the requests.
  auto Claim(const std::vector<ClaimRequest>& requests)
      -> std::vector<ClaimAttempt>;

  // Stores the outcome of a request that this router claimed and sent to a
  // target.
  auto StoreOutcome(const ClaimRequest& claim, int status,
                    const std::string& body) -> Outcome<Done>;

  // Releases the claim of a request that was certainly not sent to a target.
  auto Release(const ClaimRequest& claim) -> Outcome<Done>;

 private:
  // Replaces this router's own claim row.
  auto Replace(const ClaimRequest& claim, const ClaimRow& row) -> Outcome<Done>;

  TableClient table_;
};

}  // namespace papayaplank

#endif  // STORAGE_CLAIM_STORE_H_
