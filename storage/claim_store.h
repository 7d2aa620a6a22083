// Claims of idempotency keys in the table service, for requests that must not
// run twice.
#ifndef STORAGE_CLAIM_STORE_H_
#define STORAGE_CLAIM_STORE_H_

#include <string>
#include <vector>

#include "dispatch/dispatch.h"
#include "storage/table_client.h"

namespace papayaplank {

// A claim of a key by one request.
struct ClaimRequest {
  std::string key;
  // Unique for this claim; written into the row.
  std::string operation_id;
};

// Result of a claim.
struct ClaimAnswer {
  // `kSend`, `kReplay`, `kInProgress` or `kWrite`. `kWrite` means that the
  // table service did not confirm the claim: the request must not be sent.
  ClaimDecision decision = ClaimDecision::kWrite;
  ClaimRow row;
};

// Writes claims, their outcomes and their release.
class ClaimStore {
 public:
  explicit ClaimStore(TableClient table);

  // Claims many keys in few transactions. The answers are in the order of the
  // requests. Blocks until the table service has answered, like all methods.
  auto Claim(const std::vector<ClaimRequest>& requests)
      -> std::vector<ClaimAnswer>;

  // Stores the outcome of a request that this router claimed and sent to a
  // target; `body` goes into the row as it is. Errors: `kConflict` if the row
  // does not hold this claim, `kUnavailable` if the table service did not
  // confirm the write after several tries.
  auto StoreOutcome(const ClaimRequest& claim, int status,
                    const std::string& body) -> Outcome<Done>;

  // Releases the claim of a request that was certainly not sent to a target.
  // Errors: those of `StoreOutcome`.
  auto Release(const ClaimRequest& claim) -> Outcome<Done>;

 private:
  // Replaces the row that holds `claim`.
  auto Replace(const ClaimRequest& claim, const ClaimRow& row) -> Outcome<Done>;

  TableClient table_;
};

}  // namespace papayaplank

#endif  // STORAGE_CLAIM_STORE_H_
