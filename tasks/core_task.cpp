// The core's thread, and the execution of its commands.
#include "tasks/core_task.h"

#include <glog/logging.h>

#include <cmath>
#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kTickPeriod = milliseconds(25);
constexpr int kOutcomeNotStored = 409;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto FailureMessage(FailReason reason) -> std::string {
  switch (reason) {
    case FailReason::kRateLimited:
      return "the customer's request rate is above its limit";
    case FailReason::kQueueFull:
      return "too many requests of the customer are waiting";
    case FailReason::kShed:
      return "the router is overloaded";
    case FailReason::kDeadline:
      return "the deadline of the request class cannot be met";
    case FailReason::kNoTarget:
      return "no target serves this model or service";
    case FailReason::kTargetFailed:
      return "the target failed and no further attempt is allowed";
    case FailReason::kTableUnavailable:
      return "the idempotency key could not be claimed";
    case FailReason::kOutcomeUnknown:
      return "the idempotency key is in use; its outcome is not known yet";
    case FailReason::kStopping:
      return "the router stops before the request could end; ask another one";
    case FailReason::kStopped:
      return "the router ended while the request was open";
  }
  return "unknown";
}

// What a repeated request gets in place of an answer that was not kept whole.
auto AnswerTooLongToStore(const RequestId& id) -> RecordedAnswer {
  return {kOutcomeNotStored, "application/json",
          FormatErrorBody(id, "outcome_too_long",
                          "the request ran; its answer was too long to store",
                          std::string(RanName(Ran::kYes))),
          false};
}

}  // namespace

auto AnswerWithFailure(AnswerBuffer& answer, const FailRequest& failure)
    -> void {
  AnswerHead head;
  head.status = FailStatus(failure.reason);
  head.headers = {{"Content-Type", "application/json"},
                  {"X-Papayaplank-Ran", std::string(RanName(failure.ran))}};
  if (failure.retry_after > Duration::zero()) {
    const auto wait = static_cast<int>(std::ceil(Seconds(failure.retry_after)));
    head.headers.push_back({"Retry-After", std::to_string(std::max(1, wait))});
  }
  const auto body = FormatErrorBody(
      answer.id(), std::string(FailReasonName(failure.reason)),
      FailureMessage(failure.reason), std::string(RanName(failure.ran)));
  if (!answer.SetCompleteAnswer(std::move(head), body)) answer.Abort();
}

CoreTask::CoreTask(const Member& self, RouterOptions options,
                   std::uint64_t seed, CoreTaskHooks hooks,
                   MetricRegistry& metrics)
    : core_(self, options, seed), hooks_(std::move(hooks)), metrics_(metrics) {}

CoreTask::~CoreTask() { Stop(); }

auto CoreTask::Stop() -> void {
  is_stopping_ = true;
  if (thread_.joinable()) thread_.join();
  is_stopped_ = true;
  const std::lock_guard lock(stopped_mutex_);
  for (auto& message : mailbox_.ReceiveAll(Duration::zero())) {
    if (const auto* query = std::get_if<CoreQuery>(&message)) (*query)(core_);
  }
}

auto CoreTask::Start() -> void {
  thread_ = std::thread([this] { Run(); });
}

auto CoreTask::Post(CoreTaskMessage message) -> void {
  const auto* query = std::get_if<CoreQuery>(&message);
  if (is_stopped_ && query != nullptr) {
    const std::lock_guard lock(stopped_mutex_);
    (*query)(core_);
    return;
  }
  mailbox_.Post(std::move(message));
}

auto CoreTask::Run() -> void {
  auto next_tick = MonotonicClock::now();
  while (!is_stopping_) {
    const auto now = MonotonicClock::now();
    const auto wait = std::max(Duration::zero(), next_tick - now);
    for (auto& message : mailbox_.ReceiveAll(wait)) {
      std::visit([this](auto& each) { Handle(each); }, message);
    }
    if (MonotonicClock::now() < next_tick) continue;
    next_tick = MonotonicClock::now() + kTickPeriod;
    ExecuteAll(core_.Tick(MonotonicClock::now()));
    LogMemberChanges();
  }
}

auto CoreTask::Handle(const CoreInput& input) -> void {
  ExecuteAll(core_.Handle(input, MonotonicClock::now()));
  const auto erase_if_finished = [this](const RequestId& id) {
    if (!core_.HasRequest(id)) open_.erase(id);
  };
  if (const auto* ended = std::get_if<AttemptEnded>(&input)) {
    metrics_.IncrementCounter(
        "papayaplank_attempts_total",
        {{"result", std::string(AttemptResultName(ended->report.result))}});
    const auto open = open_.find(ended->id);
    if (open != open_.end()) {
      metrics_.Observe(Measure::kServiceCost, open->second.arrival.customer->id,
                       open->second.arrival.request_class->id,
                       ended->report.cost.units);
    }
    erase_if_finished(ended->id);
  }
  if (const auto* cancelled = std::get_if<RequestCancelled>(&input)) {
    erase_if_finished(cancelled->id);
  }
}

auto CoreTask::Handle(ClassifiedRequest& request) -> void {
  const auto id = request.arrival.id;
  open_[id] = {std::move(request.caller), request.arrival,
               MonotonicClock::now()};
  ExecuteAll(core_.Handle(request.arrival, MonotonicClock::now()));
}

auto CoreTask::Handle(const CoreQuery& query) -> void { query(core_); }

auto CoreTask::ExecuteAll(const RouterCore::Commands& commands) -> void {
  for (const auto& command : commands) {
    std::visit([this](const auto& each) { Execute(each); }, command);
  }
}

auto CoreTask::Execute(const StartAttempt& command) -> void {
  const auto& open = open_.at(command.id);
  if (command.attempt == 1) {
    metrics_.Observe(Measure::kQueueWait, open.arrival.customer->id,
                     open.arrival.request_class->id,
                     Seconds(MonotonicClock::now() - open.arrived_at));
  }
  TargetRequest request;
  request.id = command.id;
  request.customer = open.arrival.customer->id;
  request.request_class = open.arrival.request_class->id;
  request.arrived_at = open.arrived_at;
  request.attempt = command.attempt;
  request.target = command.target;
  request.method = open.caller.method;
  request.path = open.caller.path;
  request.headers = open.caller.headers;
  request.body = open.caller.body;
  request.resume_after_tokens = command.resume_after_tokens;
  request.is_single_use_connection = command.is_single_use_connection;
  request.answer = open.caller.answer;
  hooks_.start_attempt(std::move(request));
}

auto CoreTask::Execute(const CancelAttempt& command) -> void {
  hooks_.cancel_attempt(command.id, command.attempt);
}

auto CoreTask::Execute(const FailRequest& command) -> void {
  const auto found = open_.find(command.id);
  if (found == open_.end()) return;
  metrics_.IncrementCounter(
      "papayaplank_failures_total",
      {{"reason", std::string(FailReasonName(command.reason))},
       {"ran", std::string(RanName(command.ran))}});
  AnswerWithFailure(*found->second.caller.answer, command);
  open_.erase(found);
}

auto CoreTask::Execute(const ReplayOutcome& command) -> void {
  const auto found = open_.find(command.id);
  if (found == open_.end()) return;
  AnswerHead head;
  head.status = command.status;
  // The format of `OutcomeWrite::body`.
  const auto line_end = command.body.find('\n');
  const auto type = command.body.substr(0, line_end);
  head.headers = {{"Content-Type", type},
                  {"X-Papayaplank-Ran", "yes"},
                  {"X-Papayaplank-Repeated", "true"}};
  const auto body = line_end == std::string::npos
                        ? std::string()
                        : command.body.substr(line_end + 1);
  found->second.caller.answer->SetCompleteAnswer(std::move(head), body);
  open_.erase(found);
}

auto CoreTask::Execute(const ClaimKey& command) -> void {
  hooks_.claim(command);
}

auto CoreTask::Execute(const StoreOutcome& command) -> void {
  const auto found = open_.find(command.id);
  if (found == open_.end()) return;
  const auto answer = found->second.caller.answer->recorded();
  hooks_.store_outcome(
      command, answer.is_truncated ? AnswerTooLongToStore(command.id) : answer);
}

auto CoreTask::Execute(const ReleaseClaim& command) -> void {
  hooks_.release_claim(command);
}

auto CoreTask::Execute(const SendPeerMessage& command) -> void {
  hooks_.send_peer(command.address, EncodePeerMessage(command.message));
}

auto CoreTask::Execute(const FetchConfiguration& command) -> void {
  hooks_.fetch_configuration(command);
}

auto CoreTask::LogMemberChanges() -> void {
  std::map<RouterId, MemberState> current;
  for (const auto& member : core_.Members()) {
    current[member.id] = member.state;
    const auto known = logged_members_.find(member.id);
    const auto is_same =
        known != logged_members_.end() && known->second == member.state;
    if (is_same) continue;
    LOG(INFO) << "event=member_state router=" << member.id
              << " state=" << MemberStateName(member.state);
  }
  for (const auto& [id, state] : logged_members_) {
    if (current.count(id) != 0) continue;
    LOG(INFO) << "event=member_state router=" << id << " state=dead";
  }
  logged_members_ = std::move(current);
}

}  // namespace papayaplank
