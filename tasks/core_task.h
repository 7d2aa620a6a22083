// The task that owns the router core and the requests in progress.
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
struct CallerArrival {
  CallerRequest caller;
  RequestArrived arrival;
};

// Reads the core's state on its task.
using CoreQuery = std::function<void(const RouterCore&)>;

using CoreTaskMessage = std::variant<CoreInput, CallerArrival, CoreQuery>;

// What the core asks of the other tasks.
struct CoreTaskHooks {
  std::function<void(TargetRequest)> start_attempt;
  std::function<void(const RequestId&, int attempt)> cancel_attempt;
  std::function<void(const ClaimKey&)> claim;
  std::function<void(const StoreOutcome&, RecordedAnswer)> store_outcome;
  std::function<void(const ReleaseClaim&)> release_claim;
  std::function<void(const std::string& address, std::string bytes)> send_peer;
  std::function<void(const FetchConfiguration&)> fetch_configuration;
};

// Runs the core: one thread, messages in, hooks out.
class CoreTask {
 public:
  CoreTask(const Member& self, RouterOptions options, std::uint64_t seed,
           CoreTaskHooks hooks, MetricRegistry& metrics);
  ~CoreTask();
  CoreTask(const CoreTask&) = delete;
  auto operator=(const CoreTask&) -> CoreTask& = delete;

  // Starts the thread; the hooks must be usable from now on.
  auto Start() -> void;

  // Stops the thread. Queries are still answered, on the asking thread.
  auto Stop() -> void;

  auto Post(CoreTaskMessage message) -> void;

  // Runs a query on the task and waits for its result.
  template <typename Result>
  auto Ask(std::function<Result(const RouterCore&)> question) -> Result {
    auto answer = std::make_shared<std::promise<Result>>();
    auto future = answer->get_future();
    Post(CoreQuery(
        [answer, question = std::move(question)](const RouterCore& core) {
          answer->set_value(question(core));
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
  auto On(const CoreInput& input) -> void;
  auto On(CallerArrival& arrival) -> void;
  auto On(const CoreQuery& query) -> void;
  auto Execute(const RouterCore::Commands& commands) -> void;
  auto Do(const StartAttempt& command) -> void;
  auto Do(const CancelAttempt& command) -> void;
  auto Do(const FailRequest& command) -> void;
  auto Do(const ReplayOutcome& command) -> void;
  auto Do(const ClaimKey& command) -> void;
  auto Do(const StoreOutcome& command) -> void;
  auto Do(const ReleaseClaim& command) -> void;
  auto Do(const SendPeerMessage& command) -> void;
  auto Do(const FetchConfiguration& command) -> void;
  auto LogMemberChanges() -> void;

  RouterCore core_;
  CoreTaskHooks hooks_;
  MetricRegistry& metrics_;
  Mailbox<CoreTaskMessage> mailbox_;
  // Exactly the requests of callers that the core holds.
  std::unordered_map<RequestId, OpenRequest> open_;
  std::map<RouterId, MemberState> logged_members_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> is_stopped_ = false;
  // Guards the core once the thread has stopped.
  std::mutex stopped_mutex_;
  std::thread thread_;
};

// Answers a caller with a typed error, or cuts an answer that has begun.
auto AnswerWithFailure(Exchange& exchange, const FailRequest& failure) -> void;

}  // namespace papayaplank

#endif  // TASKS_CORE_TASK_H_
