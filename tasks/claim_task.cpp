// Batches claims; retries outcomes and releases until they are written or
// dropped.
#include "tasks/claim_task.h"

#include <glog/logging.h>

#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kMailboxWait = milliseconds(100);
constexpr Duration kMaxRetryTime = seconds(600);
constexpr std::size_t kMaxClaimsPerBatch = 64;
constexpr std::size_t kMaxPendingWrites = 10000;

}  // namespace

ClaimTask::ClaimTask(ClaimStore store, OnResolved on_resolved)
    : store_(std::move(store)),
      on_resolved_(std::move(on_resolved)),
      thread_([this] { Run(); }) {}

ClaimTask::~ClaimTask() {
  is_stopping_ = true;
  thread_.join();
}

auto ClaimTask::Claim(const ClaimKey& claim) -> void { mailbox_.Post(claim); }
auto ClaimTask::Store(OutcomeWrite outcome) -> void {
  mailbox_.Post(std::move(outcome));
}
auto ClaimTask::Release(ClaimRelease claim) -> void {
  mailbox_.Post(std::move(claim));
}

auto ClaimTask::Run() -> void {
  while (!is_stopping_) {
    std::vector<ClaimKey> claims;
    for (auto& message : mailbox_.ReceiveAll(kMailboxWait)) {
      if (const auto* claim = std::get_if<ClaimKey>(&message)) {
        claims.push_back(*claim);
        if (claims.size() < kMaxClaimsPerBatch) continue;
        ClaimBatch(claims);
        claims.clear();
        continue;
      }
      pending_.push_back(
          {std::move(message), MonotonicClock::now() + kMaxRetryTime});
    }
    if (!claims.empty()) ClaimBatch(claims);
    WritePending();
  }
  WritePending();
}

auto ClaimTask::ClaimBatch(const std::vector<ClaimKey>& claims) -> void {
  std::vector<ClaimRequest> requests;
  for (const auto& claim : claims) {
    requests.push_back({claim.key, claim.id.value()});
  }
  const auto answers = store_.Claim(requests);
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const auto& answer = answers[i];
    ClaimResolved resolved{claims[i].id, ClaimResult::kUnavailable, 0, ""};
    if (answer.decision == ClaimDecision::kSend) {
      resolved.result = ClaimResult::kGranted;
    } else if (answer.decision == ClaimDecision::kInProgress) {
      resolved.result = ClaimResult::kInProgress;
    } else if (answer.decision == ClaimDecision::kReplay) {
      resolved.result = ClaimResult::kReplay;
      resolved.status = answer.row.status;
      resolved.body = FromBase64(answer.row.body).value_or("");
    } else {
      // The claim may have been written although its answer was lost. The
      // request is not sent, so the claim is released.
      Release({claims[i].key, claims[i].id});
    }
    on_resolved_(resolved);
  }
}

auto ClaimTask::TryWrite(const Message& message) -> bool {
  Outcome<Done> result = Done{};
  if (const auto* outcome = std::get_if<OutcomeWrite>(&message)) {
    result = store_.StoreOutcome({outcome->key, outcome->id.value()},
                                 outcome->status, ToBase64(outcome->body));
  }
  if (const auto* release = std::get_if<ClaimRelease>(&message)) {
    result = store_.Release({release->key, release->id.value()});
  }
  if (IsOk(result)) return true;
  // The row doesn't hold this request's claim, so there is nothing to write.
  return ErrorOf(result).code == ErrorCode::kConflict;
}

auto ClaimTask::WritePending() -> void {
  while (!pending_.empty()) {
    const auto is_done = TryWrite(pending_.front().message);
    const auto is_late = MonotonicClock::now() > pending_.front().give_up_at;
    const auto should_drop = is_late || pending_.size() > kMaxPendingWrites;
    if (!is_done && !should_drop) return;
    if (!is_done) {
      LOG(WARNING) << "event=claim_write_dropped pending=" << pending_.size();
    }
    pending_.pop_front();
  }
}

}  // namespace papayaplank
