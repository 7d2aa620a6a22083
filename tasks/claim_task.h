// The task that writes claims and outcomes to the table service, in batches.
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

// The end of a claimed request, to be stored.
struct OutcomeWrite {
  std::string key;
  RequestId id;
  int status = 0;
  std::string body;
};

// A claim to be given back.
struct ClaimRelease {
  std::string key;
  RequestId id;
};

// Claims, stores and releases. The operation id of a claim is the id of its
// request, which is unique over the fleet.
class ClaimTask {
 public:
  using OnResolved = std::function<void(const ClaimResolved&)>;

  ClaimTask(ClaimStore store, OnResolved on_resolved);
  ~ClaimTask();
  ClaimTask(const ClaimTask&) = delete;
  auto operator=(const ClaimTask&) -> ClaimTask& = delete;

  auto Claim(const ClaimKey& claim) -> void;
  auto Store(OutcomeWrite outcome) -> void;
  auto Release(ClaimRelease claim) -> void;

 private:
  using Message = std::variant<ClaimKey, OutcomeWrite, ClaimRelease>;

  auto Run() -> void;
  auto ClaimBatch(const std::vector<ClaimKey>& claims) -> void;
  // Tries once; false to try again later.
  auto TryWrite(const Message& message) -> bool;
  auto WritePending() -> void;

  ClaimStore store_;
  OnResolved on_resolved_;
  Mailbox<Message> mailbox_;
  // A write that waits for the table service to come back.
  struct PendingWrite {
    Message message;
    Time give_up_at{};
  };
  std::deque<PendingWrite> pending_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace papayaplank

#endif  // TASKS_CLAIM_TASK_H_
