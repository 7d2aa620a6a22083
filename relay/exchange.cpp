// The course of one request.
#include "relay/exchange.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Longest answer that is held until it is whole; a longer one is relayed as it
// arrives and cannot be tried again.
constexpr std::size_t kMaxHeldAnswer = 262144;
// Bytes that a slow caller may have waiting before the target is paused.
constexpr std::size_t kMaxPendingBytes = 65536;
// The route's timeout is kept with this much to spare, so that the answer
// arrives in time.
constexpr Duration kTimeoutMargin = milliseconds(20);
constexpr Duration kRetryAfterNotExecuted = milliseconds(100);

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

auto IsSuccess(int status) -> bool {
  return status >= kFirstSuccess && status < kFirstRedirect;
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

Exchange::Exchange(RelayContext& context,
                   std::shared_ptr<HttpConnection> caller,
                   HttpServerRequest request)
    : context_(context),
      caller_(std::move(caller)),
      request_(
          DecodeCallerRequest(request.method, request.target, request.fields)),
      deadline_timer_(context.io),
      arrived_at_(MonotonicClock::now()) {
  if (!request.body.empty()) {
    body_ = std::make_shared<const std::string>(std::move(request.body));
  }
  ++context_.open_exchanges;
}

Exchange::~Exchange() { --context_.open_exchanges; }

auto Exchange::Start() -> void {
  RequestFacts facts;
  facts.host = request_.host;
  const std::string_view target = request_.target;
  facts.path = target.substr(0, target.find('?'));
  facts.key = request_.key;
  facts.prompt = request_.prompt;
  facts.caller_wait = request_.wait;
  auto accepted = context_.core.Accept(facts, arrived_at_);
  if (const auto* refusal = std::get_if<Refusal>(&accepted)) {
    return Refuse(*refusal);
  }
  accepted_ = std::move(std::get<GatewayRequest>(accepted));
  if (caller_->HasCallerLeft()) {
    OnCallerLeft();
    return caller_->Close();
  }
  is_stream_ = accepted_.route->kind == RequestKind::kStream;
  caller_->SetCallerLeftHook(
      [self = shared_from_this()] { self->OnCallerLeft(); });
  ArmDeadline();
  PlaceAndSend();
}

auto Exchange::ArmDeadline() -> void {
  deadline_timer_.expires_after(accepted_.deadline - arrived_at_ -
                                kTimeoutMargin);
  deadline_timer_.async_wait([weak = weak_from_this()](error_code error) {
    if (error) return;
    if (const auto self = weak.lock()) self->OnDeadline();
  });
}

auto Exchange::PlaceAndSend() -> void {
  auto result = context_.core.Place(accepted_, MonotonicClock::now());
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    if (stage_ == Stage::kBegun) return FailAfter(AttemptOutcome::kBroken);
    if (!may_have_run_) return Refuse(*refusal);
    return Refuse(Refusal{RefusalReason::kTargetFailed, {}});
  }
  placement_ = std::move(std::get<Placement>(result));
  facts_ = placement_.facts;
  is_placed_ = true;
  Send();
}

auto Exchange::Send() -> void {
  const auto now = MonotonicClock::now();
  sent_at_ = now;
  target_ = context_.pool.Take(placement_.target, now);
  if (target_ == nullptr) {
    EndSend(AttemptOutcome::kNotReached);
    return FailAfter(AttemptOutcome::kNotReached);
  }
  TargetSend send;
  send.target = placement_.target.id;
  send.customer = accepted_.customer;
  send.time_left = accepted_.deadline - now;
  send.last_event = events_.last_number();
  send.body_bytes = body_ ? body_->size() : 0;
  answer_ = {};
  is_head_good_ = false;
  held_.clear();
  events_.Restart();
  const auto self = shared_from_this();
  target_->Send(
      EncodeTargetRequest(request_, send), body_, request_.method == "HEAD",
      TransferHooks{[self](int status, const HttpFields& fields) {
                      self->OnHead(status, fields);
                    },
                    [self](std::string_view bytes) { self->OnBody(bytes); },
                    [self](TransferEnd end) { self->OnTransferEnd(end); }});
}

auto Exchange::IsOwnAnswer() const -> bool {
  return answer_.is_signed && !answer_.is_encoded &&
         answer_.request_id == request_.request_id;
}

auto Exchange::OnHead(int status, const HttpFields& fields) -> void {
  answer_ = DecodeTargetAnswer(status, fields);
  is_head_good_ = IsOwnAnswer() && IsSuccess(status);
}

auto Exchange::OnBody(std::string_view bytes) -> void {
  if (is_stream_ && is_head_good_) return RelayEvents(bytes);
  HoldOrRelay(bytes);
}

auto Exchange::RelayEvents(std::string_view bytes) -> void {
  const auto relayed_before = events_relayed_;
  std::string whole;
  events_.Take(bytes, [this, &whole](std::string_view event) {
    whole.append(event);
    ++events_relayed_;
  });
  if (events_.has_gap()) {
    DropTarget();
    EndSend(AttemptOutcome::kBroken);
    return FailAfter(AttemptOutcome::kBroken);
  }
  if (whole.empty()) return;
  if (relayed_before == 0) {
    BeginAnswer();
    RecordFirstByte();
  }
  context_.core.RecordFirstToken(placement_, MonotonicClock::now());
  caller_->Append(whole);
  if (caller_->pending_bytes() < kMaxPendingBytes || target_ == nullptr) return;
  target_->PauseReading();
  caller_->SetDrainedHook([self = shared_from_this()] {
    if (self->target_ != nullptr) self->target_->ResumeReading();
  });
}

auto Exchange::HoldOrRelay(std::string_view bytes) -> void {
  if (stage_ == Stage::kBegun && !is_stream_) return caller_->Append(bytes);
  held_.append(bytes);
  if (held_.size() <= kMaxHeldAnswer || !IsOwnAnswer() || is_stream_) return;
  BeginAnswer();
  caller_->Append(held_);
  held_.clear();
}

auto Exchange::BeginAnswer() -> void {
  if (stage_ != Stage::kWaiting) return;
  stage_ = Stage::kBegun;
  caller_->BeginAnswer(answer_.status, HeaderLines(answer_.forwarded));
  if (accepted_.route->is_resumable) return;
  // It cannot be sent again.
  body_.reset();
}

auto Exchange::JudgeAnswer(TransferEnd end) const -> AttemptOutcome {
  if (end == TransferEnd::kNotConnected) return AttemptOutcome::kNotReached;
  if (answer_.is_wrong_target) return AttemptOutcome::kWrongTarget;
  if (answer_.is_not_executed) return AttemptOutcome::kNotExecuted;
  if (end == TransferEnd::kBroken || !IsOwnAnswer()) {
    return AttemptOutcome::kBroken;
  }
  if (answer_.status >= kFirstServerError) return AttemptOutcome::kServerError;
  if (is_stream_ && is_head_good_ && events_.has_rest()) {
    return AttemptOutcome::kBroken;
  }
  return AttemptOutcome::kComplete;
}

auto Exchange::OnTransferEnd(TransferEnd end) -> void {
  const auto now = MonotonicClock::now();
  const auto outcome = JudgeAnswer(end);
  const auto connection = std::exchange(target_, nullptr);
  if (connection != nullptr) {
    context_.pool.Return(placement_.target, connection, answer_.keep_alive,
                         context_.core.ConnectionShare(accepted_.pool, now),
                         now);
  }
  EndSend(outcome);
  if (outcome == AttemptOutcome::kComplete) return Complete();
  FailAfter(outcome);
}

auto Exchange::EndSend(AttemptOutcome outcome) -> void {
  if (!is_placed_) return;
  is_placed_ = false;
  if (!HasSurelyNotRun(outcome)) may_have_run_ = true;
  const auto now = MonotonicClock::now();
  context_.core.RecordAttemptEnd(accepted_, placement_, outcome, now);
  context_.metrics.RecordSend(placement_.target.id, outcome);
  if (outcome != AttemptOutcome::kComplete &&
      outcome != AttemptOutcome::kCancelled) {
    Log(LogClass::kFailure, "send_failed", AttemptOutcomeName(outcome), now);
  }
}

auto Exchange::DropTarget() -> void {
  const auto connection = std::exchange(target_, nullptr);
  if (connection != nullptr) connection->Close();
}

auto Exchange::Complete() -> void {
  const auto now = MonotonicClock::now();
  if (stage_ == Stage::kBegun) {
    caller_->FinishAnswer();
  } else {
    RecordFirstByte();
    caller_->Answer(answer_.status, HeaderLines(answer_.forwarded), held_);
  }
  Log(LogClass::kRoutine, "request_done", "complete", now);
  RecordAnswer("complete", now);
  Finish();
}

auto Exchange::FailAfter(AttemptOutcome outcome) -> void {
  if (stage_ == Stage::kEnded) return;
  const auto now = MonotonicClock::now();
  const auto is_raw_answer_begun = stage_ == Stage::kBegun && !is_stream_;
  if (!is_raw_answer_begun &&
      context_.core.MayRetry(accepted_, outcome, events_relayed_ > 0, now)) {
    return PlaceAndSend();
  }
  if (stage_ == Stage::kBegun) {
    Log(LogClass::kFailure, "answer_cut", AttemptOutcomeName(outcome), now);
    RecordAnswer("cut", now);
    caller_->SetCallerLeftHook(nullptr);
    caller_->AbortAnswer();
    return Finish();
  }
  if (outcome == AttemptOutcome::kServerError) {
    // The target's own failure is its answer.
    Log(LogClass::kFailure, "failure_relayed", AttemptOutcomeName(outcome),
        now);
    RecordAnswer(AttemptOutcomeName(outcome), now);
    caller_->Answer(answer_.status, HeaderLines(answer_.forwarded), held_);
    return Finish();
  }
  if (may_have_run_) return Refuse(Refusal{RefusalReason::kTargetFailed, {}});
  Refuse(Refusal{RefusalReason::kNotExecuted, kRetryAfterNotExecuted});
}

auto Exchange::Refuse(const Refusal& refusal) -> void {
  const auto now = MonotonicClock::now();
  if (refusal.facts) facts_ = *refusal.facts;
  retry_after_ = refusal.retry_after;
  Log(LogClass::kFailure, "request_refused", RefusalName(refusal.reason), now);
  RecordAnswer(RefusalName(refusal.reason), now);
  caller_->SetCallerLeftHook(nullptr);
  caller_->Answer(
      RefusalStatus(refusal.reason),
      EncodeRefusalHeaders(request_.request_id, refusal.retry_after), "");
  Finish();
}

auto Exchange::Finish() -> void {
  stage_ = Stage::kEnded;
  deadline_timer_.cancel();
  DropTarget();
  caller_->SetCallerLeftHook(nullptr);
  caller_->SetDrainedHook(nullptr);
}

auto Exchange::OnCallerLeft() -> void {
  if (stage_ == Stage::kEnded) return;
  const auto self = shared_from_this();
  DropTarget();
  EndSend(AttemptOutcome::kCancelled);
  const auto now = MonotonicClock::now();
  Log(LogClass::kFailure, "caller_left", "cancelled", now);
  RecordAnswer("caller_left", now);
  Finish();
}

auto Exchange::OnDeadline() -> void {
  if (stage_ == Stage::kEnded) return;
  const auto self = shared_from_this();
  DropTarget();
  EndSend(AttemptOutcome::kCancelled);
  if (stage_ == Stage::kBegun) {
    const auto now = MonotonicClock::now();
    Log(LogClass::kFailure, "answer_cut", "timeout", now);
    RecordAnswer("cut", now);
    caller_->SetCallerLeftHook(nullptr);
    caller_->AbortAnswer();
    return Finish();
  }
  const auto reason =
      may_have_run_ ? RefusalReason::kTimeout : RefusalReason::kDeadline;
  Refuse(Refusal{reason, {}});
}

auto Exchange::Labels() const -> RequestLabels {
  const auto* route = accepted_.route;
  return {accepted_.customer, ClassId(route == nullptr ? "" : route->name)};
}

auto Exchange::RecordFirstByte() -> void {
  const auto now = MonotonicClock::now();
  first_byte_after_ = now - arrived_at_;
  context_.metrics.RecordFirstByte(Labels(), placement_.target.id,
                                   first_byte_after_, now - sent_at_);
}

auto Exchange::RecordAnswer(std::string_view outcome, Time now) -> void {
  context_.metrics.RecordAnswer(Labels(), outcome, now - arrived_at_);
}

auto Exchange::Log(LogClass log_class, std::string_view event,
                   std::string_view outcome, Time now) -> void {
  const auto labels = Labels();
  const auto version =
      context_.core.table() == nullptr ? 0 : context_.core.table()->version();
  const auto& forecast = facts_.forecast;
  context_.log.Write(
      log_class, event,
      {{"request", request_.request_id},
       {"caller", caller_->caller_address()},
       {"outcome", outcome},
       {"route", labels.request_class.value()},
       {"customer", labels.customer.value()},
       {"target", facts_.target.value()},
       {"sends", static_cast<std::int64_t>(accepted_.attempts)},
       {"target_status", static_cast<std::int64_t>(answer_.status)},
       {"events", events_relayed_},
       {"elapsed_ms", ToMs(now - arrived_at_)},
       {"first_byte_ms", ToMs(first_byte_after_)},
       {"caller_wait_ms", ToMs(request_.wait)},
       {"retry_after_ms", ToMs(retry_after_)},
       {"queue_wait_ms", ToMs(forecast.queue_wait)},
       {"own_prefill_ms", ToMs(forecast.own_prefill)},
       {"longest_wait_ms", ToMs(facts_.longest_wait)},
       {"batch_share", forecast.batch_share},
       {"has_memory", forecast.has_memory},
       {"share_used", facts_.share_used},
       {"routers",
        static_cast<std::int64_t>(context_.core.live_peers(now) + 1)},
       {"configuration", static_cast<std::int64_t>(version)},
       {"key_age_ms", ToMs(context_.core.key_age(now))}});
}

}  // namespace papayaplank
