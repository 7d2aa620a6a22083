// Attempts, retries and the relay of answers for one request.
#include "relay/relayed_request.h"

#include <algorithm>
#include <array>

namespace papayaplank {
namespace {

// Answers up to this size are buffered until they are complete, so that a
// failed one can be retried. A longer one is relayed as it arrives and can't be
// retried; an attempt fails if its bytes can't be relayed and are longer.
constexpr std::size_t kMaxBufferedAnswerBytes = 262144;
// Bytes not yet taken by a slow caller at which reading from the target pauses.
constexpr std::size_t kMaxUnsentBytes = 65536;
// The router's own timeout ends this much before the deadline, so that the
// answer reaches the caller in time.
constexpr Duration kDeadlineMargin = milliseconds(20);
// Retry-After of a request that no target has executed.
constexpr Duration kRetryAfterNotExecuted = milliseconds(100);

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

auto IsSuccess(int status) -> bool {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

// Whether the status promises that the request has not run. The answer of a
// target that ran it must not reach the caller with such a status.
auto PromisesNotRun(int status) -> bool {
  constexpr std::array kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) !=
         kStatuses.end();
}

auto HeaderLines(const HttpFields& fields) -> std::string {
  std::string lines;
  for (const auto& [name, value] : fields) {
    lines.append(name).append(": ").append(value).append("\r\n");
  }
  return lines;
}

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
  }
  ++context_.open_requests;
}

RelayedRequest::~RelayedRequest() { --context_.open_requests; }

auto RelayedRequest::Start() -> void {
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
  target_connection_ = context_.target_connections.Acquire(
      placement_.target, IsRepeatable(*accepted_request_.route), now);
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
  transfer_end_.reset();
  is_success_from_target_ = false;
  has_attempt_events_ = false;
  buffered_body_.clear();
  event_splitter_.Restart();
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

auto RelayedRequest::IsFromTarget() const -> bool {
  return answer_.is_signed && !answer_.is_encoded &&
         answer_.request_id == request_.request_id;
}

auto RelayedRequest::OnHead(int status, const HttpFields& fields)
    -> HeadAction {
  auto answer = DecodeTargetAnswer(status, fields);
  const auto past_refusals = target_connection_->past_refusals();
  const auto is_repeatable = IsRepeatable(*accepted_request_.route);
  const auto origin = FindAnswerOrigin(answer, request_.request_id,
                                       is_repeatable, past_refusals);
  target_connection_->RecordPastRefusal(RefusalKind(answer));
  if (origin != AnswerOrigin::kThisRequest) {
    LogStrayAnswer(context_.log, request_.request_id, placement_.target.id,
                   answer);
    // Unless the answer is a late one, it may be all that the target sends; a
    // repeatable request then gets another sooner elsewhere.
    const auto may_follow =
        origin == AnswerOrigin::kOtherRequest &&
        (!is_repeatable || target_connection_->HasCarried(answer.request_id));
    return may_follow ? HeadAction::kSkip : HeadAction::kBreak;
  }
  answer_ = std::move(answer);
  is_success_from_target_ = IsFromTarget() && IsSuccess(status);
  // An earlier refusal ends no limit.
  if (!MayBeEarlierRefusal(answer_, past_refusals) || answer_.limit) {
    RecordLimit();
  }
  return HeadAction::kRead;
}

auto RelayedRequest::RecordLimit() -> void {
  const auto says_so =
      IsFromTarget() || (answer_.is_not_executed && !answer_.is_wrong_target);
  if (!says_so) return;
  if (answer_.is_limit_malformed) return context_.core.RecordMalformedLimit();
  context_.core.RecordLimit(placement_, answer_.limit, MonotonicClock::now());
}

auto RelayedRequest::OnBody(std::string_view bytes) -> void {
  if (is_stream_ && is_success_from_target_) return RelayEvents(bytes);
  BufferOrRelay(bytes);
}

auto RelayedRequest::RelayEvents(std::string_view bytes) -> void {
  const auto relayed_before = relayed_events_;
  std::string complete_events;
  event_splitter_.Append(bytes,
                         [this, &complete_events](std::string_view event) {
                           complete_events.append(event);
                           ++relayed_events_;
                         });
  if (!complete_events.empty()) {
    has_attempt_events_ = true;
    if (relayed_before == 0) {
      BeginAnswer();
      RecordFirstByte();
    }
    // The core uses only the first call of an attempt.
    context_.core.RecordFirstToken(placement_, MonotonicClock::now());
    AppendToAnswer(complete_events);
  }
  const auto is_endless =
      event_splitter_.partial_event_bytes() > kMaxBufferedAnswerBytes;
  if (event_splitter_.is_out_of_order() || is_endless) BreakAttempt();
}

auto RelayedRequest::BreakAttempt() -> void {
  CloseTargetConnection();
  EndAttempt(AttemptOutcome::kBroken);
  RetryOrFail(AttemptOutcome::kBroken);
}

auto RelayedRequest::AppendToAnswer(std::string_view bytes) -> void {
  caller_->Append(bytes);
  if (caller_->unsent_bytes() < kMaxUnsentBytes ||
      target_connection_ == nullptr) {
    return;
  }
  target_connection_->PauseReading();
  caller_->SetAllSentHook([self = shared_from_this()] {
    if (self->target_connection_ != nullptr) {
      self->target_connection_->ResumeReading();
    }
  });
}

auto RelayedRequest::BufferOrRelay(std::string_view bytes) -> void {
  if (answer_state_ == AnswerState::kStarted && !is_stream_) {
    return AppendToAnswer(bytes);
  }
  buffered_body_.append(bytes);
  if (buffered_body_.size() <= kMaxBufferedAnswerBytes) return;
  if (!IsFromTarget() || is_stream_) return BreakAttempt();
  BeginAnswer();
  RecordFirstByte();
  AppendToAnswer(buffered_body_);
  buffered_body_.clear();
}

auto RelayedRequest::BeginAnswer() -> void {
  if (answer_state_ != AnswerState::kNotStarted) return;
  answer_state_ = AnswerState::kStarted;
  begun_status_ = answer_.status;
  caller_->BeginAnswer(answer_.status, HeaderLines(answer_.forwarded));
  if (accepted_request_.route->is_resumable) return;
  // The answer has started, so the request can't be sent to another target.
  body_.reset();
}

auto RelayedRequest::ClassifyAnswer(TransferEnd end) const -> AttemptOutcome {
  if (end == TransferEnd::kNotConnected) return AttemptOutcome::kNotReached;
  if (answer_.is_wrong_target) return AttemptOutcome::kWrongTarget;
  if (answer_.is_not_executed) return AttemptOutcome::kNotExecuted;
  if (end == TransferEnd::kBroken || !IsFromTarget()) {
    return AttemptOutcome::kBroken;
  }
  if (is_stream_ && answer_state_ == AnswerState::kStarted &&
      !(is_success_from_target_ && answer_.status == begun_status_)) {
    return AttemptOutcome::kBroken;
  }
  if (answer_.status >= kFirstServerError || PromisesNotRun(answer_.status)) {
    return AttemptOutcome::kServerError;
  }
  if (is_stream_ && is_success_from_target_) {
    // A target that crashes on the first event may close an empty answer.
    const auto is_empty =
        end == TransferEnd::kCompleteAtClose && !has_attempt_events_;
    if (is_empty || event_splitter_.has_partial_event() ||
        event_splitter_.is_short()) {
      return AttemptOutcome::kBroken;
    }
  }
  return AttemptOutcome::kComplete;
}

auto RelayedRequest::OnTransferEnd(TransferEnd end) -> void {
  const auto now = MonotonicClock::now();
  const auto outcome = ClassifyAnswer(end);
  transfer_end_ = end;
  context_.metrics.RecordTransferEnd(TransferEndName(end));
  if (end == TransferEnd::kBroken) {
    context_.target_connections.RecordBreak(placement_.target.id, now);
  }
  const auto connection = std::exchange(target_connection_, nullptr);
  if (connection != nullptr && !IsReusableAfter(answer_)) {
    connection->Close();
  } else if (connection != nullptr) {
    context_.target_connections.Release(
        placement_.target, connection, answer_.keep_alive,
        context_.core.ConnectionShare(accepted_request_.pool, now), now);
  }
  const auto is_whole = outcome == AttemptOutcome::kComplete ||
                        outcome == AttemptOutcome::kServerError;
  if (is_whole && end == TransferEnd::kCompleteAtClose) {
    return ConfirmEnd(outcome);
  }
  EndAnswer(outcome);
}

auto RelayedRequest::ConfirmEnd(AttemptOutcome outcome) -> void {
  // The connections of a killed process end like such an answer. If the end is
  // old, another process may listen there by now.
  if (context_.has_stood_still()) {
    return EndAnswer(AttemptOutcome::kBroken);
  }
  context_.target_connections.ConfirmAlive(
      placement_.target, MonotonicClock::now(),
      [self = shared_from_this(), outcome](bool is_alive) {
        // The caller has left, or the deadline has passed.
        if (!self->has_open_attempt_) return;
        self->EndAnswer(is_alive ? outcome : AttemptOutcome::kBroken);
      });
}

auto RelayedRequest::EndAnswer(AttemptOutcome outcome) -> void {
  EndAttempt(outcome);
  if (outcome == AttemptOutcome::kComplete) return Complete();
  RetryOrFail(outcome);
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
  const auto connection = std::exchange(target_connection_, nullptr);
  if (connection != nullptr) connection->Close();
}

auto RelayedRequest::Complete() -> void {
  const auto now = MonotonicClock::now();
  if (answer_state_ == AnswerState::kStarted) {
    caller_->FinishAnswer();
  } else {
    RecordFirstByte();
    caller_->Answer(answer_.status, HeaderLines(answer_.forwarded),
                    buffered_body_);
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
    caller_->Answer(answer_.status, HeaderLines(answer_.forwarded),
                    buffered_body_);
    return Finish();
  }
  if (may_have_run_) return Refuse(Refusal{RefusalReason::kTargetFailed, {}});
  Refuse(Refusal{RefusalReason::kNotExecuted, kRetryAfterNotExecuted});
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
       {"outcome", outcome},
       {"route", labels.request_class.value()},
       {"customer", labels.customer.value()},
       {"target", admission_facts_.target.value()},
       {"sends", static_cast<std::int64_t>(accepted_request_.attempts)},
       {"target_status", static_cast<std::int64_t>(answer_.status)},
       {"answer_end", transfer_end_ ? TransferEndName(*transfer_end_) : ""},
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
