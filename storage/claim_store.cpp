// Conditional writes of claim rows; after a lost answer, rows are read again.
#include "storage/claim_store.h"

#include <map>
#include <set>
#include <utility>

namespace papayaplank {
namespace {

// A write is tried again when another key made its transaction fail, and after
// a lost answer.
constexpr int kMaxTries = 4;

auto RowKey(const std::string& key) -> std::string { return "claim/" + key; }

auto ParseRow(const TableRow& row) -> std::optional<ClaimRow> {
  if (row.version == 0) return std::nullopt;
  // A damaged row counts as another request's claim: when in doubt, the request
  // must not run.
  return ClaimRowFromText(row.value).value_or(ClaimRow{});
}

}  // namespace

ClaimStore::ClaimStore(TableClient table) : table_(std::move(table)) {}

auto ClaimStore::Claim(const std::vector<ClaimRequest>& requests)
    -> std::vector<ClaimAnswer> {
  std::vector<ClaimAnswer> answers(requests.size());
  std::set<std::size_t> open;
  for (std::size_t i = 0; i < requests.size(); ++i) open.insert(i);
  for (int tries = 0; tries < kMaxTries && !open.empty(); ++tries) {
    std::vector<std::string> keys;
    for (const auto i : open) keys.push_back(RowKey(requests[i].key));
    auto rows = table_.Read(keys);
    if (!IsOk(rows)) continue;
    std::map<std::string, ConditionalWrite> writes;
    for (auto it = open.begin(); it != open.end();) {
      const auto& request = requests[*it];
      const auto& stored = ValueOf(rows)[RowKey(request.key)];
      const auto row = ParseRow(stored);
      const auto decision = DecideClaim(row, request.operation_id);
      if (decision != ClaimDecision::kWrite) {
        answers[*it] = {decision, *row};
        it = open.erase(it);
        continue;
      }
      const ClaimRow claim{ClaimState::kClaimed, request.operation_id, 0, ""};
      // Of two claims of one key in a batch, the first is written.
      writes.try_emplace(request.key,
                         ConditionalWrite{RowKey(request.key), stored.version,
                                          ClaimRowToText(claim)});
      ++it;
    }
    if (writes.empty()) break;
    std::vector<ConditionalWrite> batch;
    for (auto& [key, write] : writes) batch.push_back(std::move(write));
    // The result is ignored: the next try reads the rows again, and a row
    // with this operation id is a granted claim, even if the answer was lost.
    table_.Transact(batch);
  }
  return answers;
}

auto ClaimStore::Replace(const ClaimRequest& claim, const ClaimRow& row)
    -> Outcome<Done> {
  Outcome<Done> unconfirmed =
      Error{ErrorCode::kUnavailable,
            "the table service did not confirm the write of the claim"};
  for (int tries = 0; tries < kMaxTries; ++tries) {
    auto rows = table_.Read({RowKey(claim.key)});
    if (!IsOk(rows)) continue;
    const auto stored = ValueOf(rows)[RowKey(claim.key)];
    const auto current = ParseRow(stored);
    if (!current || current->operation_id != claim.operation_id) {
      return Error{ErrorCode::kConflict, "the claim of key '" + claim.key +
                                             "' belongs to another request"};
    }
    if (current->state == row.state) return Done{};
    auto written = table_.Transact(
        {{RowKey(claim.key), stored.version, ClaimRowToText(row)}});
    if (IsOk(written) && ValueOf(written).is_committed) return Done{};
  }
  return unconfirmed;
}

auto ClaimStore::StoreOutcome(const ClaimRequest& claim, int status,
                              const std::string& body) -> Outcome<Done> {
  return Replace(claim, {ClaimState::kDone, claim.operation_id, status, body});
}

auto ClaimStore::Release(const ClaimRequest& claim) -> Outcome<Done> {
  return Replace(claim, {ClaimState::kReleased, claim.operation_id, 0, ""});
}

}  // namespace papayaplank
