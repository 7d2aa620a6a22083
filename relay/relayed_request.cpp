// Attempts, retries and the end of one request.
#include "relay/relayed_request.h"

#include <algorithm>

namespace papayaplank {
namespace {

// The router's own timeout ends this much before the deadline, so that the
// answer reaches the caller in time.
constexpr Duration kDeadlineMargin = milliseconds(20);
// Retry-After of a request that no target has executed.
constexpr Duration kRetryAfterNotExecuted = milliseconds(100);
// Retry-After of a request whose body finds no memory.
constexpr Duration kMemoryRetryAfter = seconds(1);

auto ToMs(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

RelayedRequest::RelayedRequest(RelayContext& context,
                               std::shared_ptr<HttpConnection> caller,
                               HttpServerRequest request)
    : context_(context),
      caller_(std::move(caller)),
      request_(DecodeCallerRequest(request.method, request.request_target,
                                   request.fields)),
      deadline_timer_(context.io),
      permit_timer_(context.io),
      arrived_at_(MonotonicClock::now()) {
  if (!request.body.empty()) {
    body_ = std::make_shared<const std::string>(std::move(request.body));
    counted_body_ = body_->capacity();
    context_.budget.Add(HeldKind::kBody, counted_body_);
  }
  context_.open_requests.insert(this);
}

RelayedRequest::~RelayedRequest() {
  DropHeldAnswer();
  DropBody();
  context_.open_requests.erase(this);
}

auto RelayedRequest::DropBody() -> void {
  body_.reset();
  context_.budget.Subtract(HeldKind::kBody, std::exchange(counted_body_, 0));
}

auto RelayedRequest::Start() -> void {
  // What was passed on stays, so that there may be no room for this one.
  if (counted_body_ > 0 && !context_.budget.FitsRequest(counted_body_)) {
    return Refuse(Refusal{RefusalReason::kRouterMemory, kMemoryRetryAfter});
  }
  RequestFacts facts;
  facts.host = request_.host;
  const std::string_view request_target = request_.request_target;
  facts.path = request_target.substr(0, request_target.find('?'));
  facts.key = request_.api_key;
  facts.prompt = request_.prompt;
  facts.caller_wait = request_.caller_wait;
  auto accepted = context_.core.Accept(facts, arrived_at_);
  if (const auto* refusal = std::get_if<Refusal>(&accepted)) {
    return Refuse(*refusal);
  }
  accepted_request_ = std::move(std::get<GatewayRequest>(accepted));
  if (caller_->HasCallerLeft()) {
    OnCallerLeft();
    return caller_->Close();
  }
  is_stream_ = accepted_request_.route->kind == RequestKind::kStream;
  if (is_stream_ && request_.last_event_id) {
    event_splitter_.ContinueAfter(*request_.last_event_id);
  }
  caller_->SetCallerLeftHook(
      [self = shared_from_this()] { self->OnCallerLeft(); });
  ArmDeadline();
  StartAttempt();
}

auto RelayedRequest::ArmDeadline() -> void {
  deadline_timer_.expires_after(accepted_request_.deadline - arrived_at_ -
                                kDeadlineMargin);
  deadline_timer_.async_wait([weak = weak_from_this()](error_code error) {
    if (error) return;
    if (const auto self = weak.lock()) self->OnDeadline();
  });
}

auto RelayedRequest::StartAttempt() -> void {
  auto result = context_.core.Place(accepted_request_, MonotonicClock::now());
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    if (answer_state_ == AnswerState::kStarted) {
      return CutAnswer(AttemptOutcomeName(AttemptOutcome::kBroken));
    }
    if (!may_have_run_) return Refuse(*refusal);
    return Refuse(Refusal{RefusalReason::kTargetFailed, {}});
  }
  if (const auto* wait = std::get_if<PermitWait>(&result)) {
    return WaitForPermit(*wait);
  }
  placement_ = std::move(std::get<Placement>(result));
  admission_facts_ = placement_.facts;
  has_open_attempt_ = true;
  SendToTarget();
}

auto RelayedRequest::WaitForPermit(const PermitWait& wait) -> void {
  awaited_permit_ = wait.nonce;
  permit_asked_at_ = MonotonicClock::now();
  context_.permit_waits.Add(wait.nonce, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->StopWaitingForPermit();
    self->StartAttempt();
  });
  permit_timer_.expires_after(wait.timeout);
  permit_timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (error || self == nullptr || !self->awaited_permit_) return;
    self->context_.core.RecordPermitSilence(*self->awaited_permit_,
                                            MonotonicClock::now());
    self->StopWaitingForPermit();
    self->StartAttempt();
  });
  context_.send_permit_requests();
}

auto RelayedRequest::StopWaitingForPermit() -> void {
  if (!awaited_permit_) return;
  permit_wait_ += MonotonicClock::now() - permit_asked_at_;
  context_.permit_waits.Remove(*awaited_permit_);
  awaited_permit_.reset();
  permit_timer_.cancel();
}

auto RelayedRequest::SendToTarget() -> void {
  const auto now = MonotonicClock::now();
  attempt_started_at_ = now;
  target_connection_ =
      context_.target_connections.Acquire(placement_.target, now);
  if (target_connection_ == nullptr) {
    EndAttempt(AttemptOutcome::kNotReached);
    return RetryOrFail(AttemptOutcome::kNotReached);
  }
  TargetAttempt attempt;
  attempt.target = placement_.target.id;
  attempt.customer = accepted_request_.customer;
  attempt.time_left = accepted_request_.deadline - now;
  attempt.last_event_id = event_splitter_.last_event_id();
  attempt.body_bytes = body_ ? body_->size() : 0;
  answer_ = {};
  sentinel_.reset();
  transfer_end_.reset();
  process_state_.reset();
  is_success_from_target_ = false;
  has_attempt_events_ = false;
  DropHeldAnswer();
  const auto self = shared_from_this();
  target_connection_->RecordRequest(request_.request_id);
  target_connection_->Send(
      EncodeTargetRequest(request_, attempt), body_, request_.method == "HEAD",
      TransferHooks{[self](int status, const HttpFields& fields) {
                      return self->OnHead(status, fields);
                    },
                    [self](std::string_view bytes) { self->OnBody(bytes); },
                    [self](TransferEnd end) { self->OnTransferEnd(end); }});
}

auto RelayedRequest::EndAttempt(AttemptOutcome outcome) -> void {
  if (!has_open_attempt_) return;
  has_open_attempt_ = false;
  if (!HasSurelyNotRun(outcome)) may_have_run_ = true;
  const auto now = MonotonicClock::now();
  context_.core.RecordAttemptEnd(accepted_request_, placement_, outcome, now);
  context_.metrics.RecordAttempt(placement_.target.id, outcome);
  if (context_.core.ShouldCheckTarget(placement_.target.id)) {
    context_.target_connections.Check(
        placement_.target,
        [&core = context_.core, id = placement_.target.id](bool is_reachable) {
          core.RecordTargetCheck(id, is_reachable, MonotonicClock::now());
        });
  }
  if (outcome != AttemptOutcome::kComplete &&
      outcome != AttemptOutcome::kCancelled) {
    Log(LogClass::kFailure, "send_failed", AttemptOutcomeName(outcome), now);
  }
}

auto RelayedRequest::CloseTargetConnection() -> void {
  sentinel_.reset();
  const auto connection = std::exchange(target_connection_, nullptr);
  if (connection != nullptr) connection->Close();
}

auto RelayedRequest::Complete() -> void {
  const auto now = MonotonicClock::now();
  if (answer_state_ == AnswerState::kStarted) {
    caller_->FinishAnswer();
  } else {
    RecordFirstByte();
    caller_->Answer(answer_.status, ForwardedHeaders(), buffered_body_);
  }
  Log(LogClass::kRoutine, "request_done", "complete", now);
  RecordAnswer("complete", now);
  Finish();
}

auto RelayedRequest::RetryOrFail(AttemptOutcome outcome) -> void {
  if (answer_state_ == AnswerState::kEnded) return;
  const auto now = MonotonicClock::now();
  const auto can_go_on = answer_state_ == AnswerState::kNotStarted ||
                         (is_stream_ && event_splitter_.can_continue());
  if (can_go_on && context_.core.MayRetry(accepted_request_, outcome,
                                          relayed_events_ > 0, now)) {
    return StartAttempt();
  }
  if (answer_state_ == AnswerState::kStarted) {
    return CutAnswer(AttemptOutcomeName(outcome));
  }
  if (outcome == AttemptOutcome::kServerError &&
      !PromisesNotRun(answer_.status)) {
    // The target executed the request and failed; the caller gets its answer.
    Log(LogClass::kFailure, "failure_relayed", AttemptOutcomeName(outcome),
        now);
    RecordAnswer(AttemptOutcomeName(outcome), now);
    caller_->Answer(answer_.status, ForwardedHeaders(), buffered_body_);
    return Finish();
  }
  if (may_have_run_) return Refuse(Refusal{RefusalReason::kTargetFailed, {}});
  const auto pause = context_.core.PromiseReturn(accepted_request_.pool, now);
  Refuse(Refusal{RefusalReason::kNotExecuted,
                 std::max<Duration>(pause, kRetryAfterNotExecuted)});
}

auto RelayedRequest::CutAnswer(std::string_view cause) -> void {
  const auto now = MonotonicClock::now();
  Log(LogClass::kFailure, "answer_cut", cause, now);
  RecordAnswer("cut", now);
  caller_->SetCallerLeftHook(nullptr);
  caller_->AbortAnswer();
  Finish();
}

auto RelayedRequest::Refuse(const Refusal& refusal) -> void {
  const auto now = MonotonicClock::now();
  if (refusal.facts) admission_facts_ = *refusal.facts;
  quarantined_part_ = refusal.part;
  retry_after_ = refusal.retry_after;
  Log(LogClass::kFailure, "request_refused", RefusalName(refusal.reason), now);
  RecordAnswer(RefusalName(refusal.reason), now);
  caller_->SetCallerLeftHook(nullptr);
  caller_->Answer(
      RefusalStatus(refusal.reason),
      EncodeRefusalHeaders(request_.request_id, refusal.retry_after), "");
  Finish();
}

auto RelayedRequest::Finish() -> void {
  answer_state_ = AnswerState::kEnded;
  deadline_timer_.cancel();
  StopWaitingForPermit();
  CloseTargetConnection();
  DropHeldAnswer();
  DropBody();
  caller_->SetCallerLeftHook(nullptr);
  caller_->SetAllSentHook(nullptr);
}

auto RelayedRequest::OnCallerLeft() -> void {
  if (answer_state_ == AnswerState::kEnded) return;
  const auto self = shared_from_this();
  CloseTargetConnection();
  EndAttempt(AttemptOutcome::kCancelled);
  const auto now = MonotonicClock::now();
  Log(LogClass::kFailure, "caller_left", "cancelled", now);
  RecordAnswer("caller_left", now);
  Finish();
}

auto RelayedRequest::OnDeadline() -> void {
  if (answer_state_ == AnswerState::kEnded) return;
  const auto self = shared_from_this();
  CloseTargetConnection();
  EndAttempt(AttemptOutcome::kCancelled);
  if (answer_state_ == AnswerState::kStarted) return CutAnswer("timeout");
  const auto reason =
      may_have_run_ ? RefusalReason::kTimeout : RefusalReason::kDeadline;
  Refuse(Refusal{reason, {}});
}

auto RelayedRequest::EndForStop() -> void {
  if (answer_state_ == AnswerState::kEnded) return;
  const auto self = shared_from_this();
  CloseTargetConnection();
  EndAttempt(AttemptOutcome::kCancelled);
  if (answer_state_ == AnswerState::kStarted) return CutAnswer("stop");
  const auto reason =
      may_have_run_ ? RefusalReason::kStopped : RefusalReason::kLeaving;
  Refuse(Refusal{reason, {}});
}

auto RelayedRequest::MetricLabels() const -> RequestLabels {
  const auto* route = accepted_request_.route;
  return {accepted_request_.customer,
          ClassId(route == nullptr ? "" : route->name)};
}

auto RelayedRequest::RecordFirstByte() -> void {
  const auto now = MonotonicClock::now();
  first_byte_delay_ = now - arrived_at_;
  context_.metrics.RecordFirstByte(MetricLabels(), placement_.target.id,
                                   first_byte_delay_,
                                   now - attempt_started_at_);
}

auto RelayedRequest::RecordAnswer(std::string_view outcome, Time now) -> void {
  context_.metrics.RecordAnswer(MetricLabels(), outcome, now - arrived_at_);
}

auto RelayedRequest::Log(LogClass log_class, std::string_view event,
                         std::string_view outcome, Time now) -> void {
  const auto labels = MetricLabels();
  const auto version =
      context_.core.table() == nullptr ? 0 : context_.core.table()->version();
  const auto& forecast = admission_facts_.forecast;
  const auto shared_parts =
      log_class == LogClass::kFailure
          ? EncodePartIds(SharedParts(request_.prompt.parts))
          : std::string();
  const auto quarantined_part =
      quarantined_part_ ? EncodePartId(*quarantined_part_) : std::string();
  context_.log.Write(
      log_class, event,
      {{"request", request_.request_id},
       {"caller", caller_->caller_address()},
       {"caller_end", CallerEndName(caller_->caller_end())},
       {"outcome", outcome},
       {"route", labels.request_class.value()},
       {"customer", labels.customer.value()},
       {"target", admission_facts_.target.value()},
       {"sends", static_cast<std::int64_t>(accepted_request_.attempts)},
       {"target_status", static_cast<std::int64_t>(answer_.status)},
       {"answer_end", transfer_end_ ? TransferEndName(*transfer_end_) : ""},
       {"target_process",
        process_state_ ? ProcessStateName(*process_state_) : ""},
       {"events", relayed_events_},
       {"resumed_after", request_.last_event_id.value_or(0)},
       {"last_event", event_splitter_.last_event_id().value_or(0)},
       {"shared_parts", shared_parts},
       {"quarantined_part", quarantined_part},
       {"attempt_ms",
        ToMs(accepted_request_.attempts == 0 ? Duration{}
                                             : now - attempt_started_at_)},
       {"elapsed_ms", ToMs(now - arrived_at_)},
       {"first_byte_ms", ToMs(first_byte_delay_)},
       {"caller_wait_ms", ToMs(request_.caller_wait)},
       {"retry_after_ms", ToMs(retry_after_)},
       {"permit_wait_ms", ToMs(permit_wait_)},
       {"queue_wait_ms", ToMs(forecast.queue_wait)},
       {"own_prefill_ms", ToMs(forecast.own_prefill)},
       {"longest_wait_ms", ToMs(admission_facts_.longest_wait)},
       {"batch_share", forecast.batch_share},
       {"has_memory", forecast.has_memory},
       {"share_used", admission_facts_.share_used},
       {"routers",
        static_cast<std::int64_t>(context_.core.live_peers(now) + 1)},
       {"configuration", static_cast<std::int64_t>(version)},
       {"key_age_ms", ToMs(context_.core.key_age(now))}});
}

}  // namespace papayaplank
