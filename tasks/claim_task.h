// Task that writes claims of idempotency keys and their outcomes to the table
// service.
#ifndef TASKS_CLAIM_TASK_H_
#define TASKS_CLAIM_TASK_H_

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <variant>

#include "router/router.h"
#include "storage/storage.h"

namespace papayaplank {

// Outcome of a claimed request, to be stored.
struct OutcomeWrite {
  std::string key;
  RequestId id;
  int status = 0;
  // Content type, a line feed and the answer's body; `CoreTask` splits it when
  // it replays the outcome.
  std::string body;
};

// A claim to release: its request was not sent to a target.
struct ClaimRelease {
  std::string key;
  RequestId id;
};

// Claims keys in batches. Retries outcomes and releases until they are written,
// but drops them after a maximum time, or the oldest if too many are pending.
// The operation id of a claim is its request id, which is unique in the fleet.
class ClaimTask {
 public:
  // Called on the task's thread.
  using OnResolved = std::function<void(const ClaimResolved&)>;

  ClaimTask(ClaimStore store, OnResolved on_resolved);
  ~ClaimTask();
  ClaimTask(const ClaimTask&) = delete;
  auto operator=(const ClaimTask&) -> ClaimTask& = delete;

  // Queue a message for the task and return at once. The result of a claim is
  // passed to `OnResolved`.
  auto Claim(const ClaimKey& claim) -> void;
  auto Store(OutcomeWrite outcome) -> void;
  auto Release(ClaimRelease claim) -> void;

 private:
  using Message = std::variant<ClaimKey, OutcomeWrite, ClaimRelease>;

  auto Run() -> void;
  auto ClaimBatch(const std::vector<ClaimKey>& claims) -> void;
  // Makes one attempt; returns false if the write must be retried.
  auto TryWrite(const Message& message) -> bool;
  auto WritePending() -> void;

  ClaimStore store_;
  OnResolved on_resolved_;
  Mailbox<Message> mailbox_;
  // A write that is retried until the table service accepts it or until
  // `give_up_at`.
  struct PendingWrite {
    Message message;
    Time give_up_at{};
  };
  // Oldest first.
  std::deque<PendingWrite> pending_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace papayaplank

#endif  // TASKS_CLAIM_TASK_H_
