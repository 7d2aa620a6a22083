// Task that owns the router core and the requests in progress.
#ifndef TASKS_CORE_TASK_H_
#define TASKS_CORE_TASK_H_

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <unordered_map>
#include <variant>

#include "metrics/metrics.h"
#include "router/router.h"
#include "transport/transport.h"

namespace papayaplank {

// A caller's request with its class and pool.
struct ClassifiedRequest {
  CallerRequest caller;
  RequestArrived arrival;
};

// Reads the core's state on its task.
using CoreQuery = std::function<void(const RouterCore&)>;

using CoreTaskMessage = std::variant<CoreInput, ClassifiedRequest, CoreQuery>;

// Operations that the core's commands start in other tasks. Called on the core
// task's thread.
struct CoreTaskHooks {
  std::function<void(TargetRequest)> start_attempt;
  std::function<void(const RequestId&, int attempt)> cancel_attempt;
  std::function<void(const ClaimKey&)> claim;
  std::function<void(const StoreOutcome&, RecordedAnswer)> store_outcome;
  std::function<void(const ReleaseClaim&)> release_claim;
  // Sends an encoded peer message to a gossip address.
  std::function<void(const std::string& address, std::string bytes)> send_peer;
  std::function<void(const FetchConfiguration&)> fetch_configuration;
};

// Runs the core on one thread: passes messages to it and executes its commands
// through the hooks.
class CoreTask {
 public:
  CoreTask(const Member& self, RouterOptions options, std::uint64_t seed,
           CoreTaskHooks hooks, MetricRegistry& metrics);
  ~CoreTask();
  CoreTask(const CoreTask&) = delete;
  auto operator=(const CoreTask&) -> CoreTask& = delete;

  // Starts the thread; the hooks must be callable by then.
  auto Start() -> void;

  // Stops the thread. Later queries run on the calling thread.
  auto Stop() -> void;

  // Queues a message for the thread. After `Stop`, runs a query on the calling
  // thread and ignores other messages.
  auto Post(CoreTaskMessage message) -> void;

  // Posts a query and waits for its result. Must not be called on the task's
  // thread, nor before `Start` on the thread that calls it.
  template <typename Result>
  auto RunQuery(std::function<Result(const RouterCore&)> query) -> Result {
    auto result = std::make_shared<std::promise<Result>>();
    auto future = result->get_future();
    Post(CoreQuery([result, query = std::move(query)](const RouterCore& core) {
      result->set_value(query(core));
    }));
    return future.get();
  }

 private:
  // A request that the core holds.
  struct OpenRequest {
    CallerRequest caller;
    RequestArrived arrival;
    Time arrived_at{};
  };

  auto Run() -> void;
  auto Handle(const CoreInput& input) -> void;
  auto Handle(ClassifiedRequest& request) -> void;
  auto Handle(const CoreQuery& query) -> void;
  auto ExecuteAll(const RouterCore::Commands& commands) -> void;
  auto Execute(const StartAttempt& command) -> void;
  auto Execute(const CancelAttempt& command) -> void;
  auto Execute(const FailRequest& command) -> void;
  auto Execute(const ReplayOutcome& command) -> void;
  auto Execute(const ClaimKey& command) -> void;
  auto Execute(const StoreOutcome& command) -> void;
  auto Execute(const ReleaseClaim& command) -> void;
  auto Execute(const SendPeerMessage& command) -> void;
  auto Execute(const FetchConfiguration& command) -> void;
  auto LogMemberChanges() -> void;

  RouterCore core_;
  CoreTaskHooks hooks_;
  MetricRegistry& metrics_;
  Mailbox<CoreTaskMessage> mailbox_;
  // Exactly the callers' requests that the core holds.
  std::unordered_map<RequestId, OpenRequest> open_;
  // The members' states as last logged.
  std::map<RouterId, MemberState> logged_members_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> is_stopped_ = false;
  // Guards `core_` after the thread has stopped.
  std::mutex stopped_mutex_;
  std::thread thread_;
};

// Answers a caller with a typed error, or aborts an answer that has begun.
auto AnswerWithFailure(AnswerBuffer& answer, const FailRequest& failure)
    -> void;

}  // namespace papayaplank

#endif  // TASKS_CORE_TASK_H_
