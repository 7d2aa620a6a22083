// The answer of a target: whose it is, its relay to the caller, and whether it
// is whole.
#include <algorithm>

#include "relay/relayed_request.h"

namespace papayaplank {
namespace {

// Answers up to this size are buffered until they are complete, so that a
// failed one can be retried. A longer one is relayed as it arrives and can't be
// retried; an attempt fails if its bytes can't be relayed and are longer.
constexpr std::size_t kMaxBufferedAnswerBytes = 262144;
// The same for all requests of the router, which at the size to design for are
// some 1,500 within 256 MB.
constexpr std::size_t kMaxHeldAnswerBytes = 16777216;
// Each request may hold back so much even then: ordinary errors and events.
constexpr std::size_t kSmallAnswerBytes = 8192;
// Bytes not yet taken by a slow caller at which reading from the target pauses.
constexpr std::size_t kMaxUnsentBytes = 65536;
// The same for all requests together, as a share of the memory budget, and what
// each may have in any case.
constexpr double kUnsentShare = 0.25;
constexpr std::size_t kLeastUnsentBytes = 4096;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

auto IsSuccess(int status) -> bool {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

}  // namespace

auto RelayedRequest::IsFromTarget() const -> bool {
  return answer_.is_signed && !answer_.is_encoded &&
         answer_.request_id == request_.request_id;
}

auto RelayedRequest::OnHead(int status, const HttpFields& fields)
    -> HeadAction {
  auto answer = DecodeTargetAnswer(status, fields);
  const auto origin = FindAnswerOrigin(
      answer, request_.request_id, target_connection_->has_carried_refusal());
  if (IsRefusal(answer)) target_connection_->RecordRefusal();
  if (origin != AnswerOrigin::kThisRequest) {
    LogStrayAnswer(context_.log, request_.request_id, placement_.target.id,
                   answer);
    // Unless the answer is a late one, it may be all that the target sends; a
    // repeatable request then gets another sooner elsewhere.
    const auto may_follow = origin == AnswerOrigin::kOtherRequest &&
                            (!IsRepeatable(*accepted_request_.route) ||
                             target_connection_->HasCarried(answer.request_id));
    return may_follow ? HeadAction::kSkip : HeadAction::kBreak;
  }
  answer_ = std::move(answer);
  is_success_from_target_ = IsFromTarget() && IsSuccess(status);
  RecordStatement();
  // After a pause of the router, the answer may come from a process that has
  // ended since; the sentinel would be accepted by the next one.
  if (IsFromTarget() && target_connection_->is_answer_unframed() &&
      !context_.has_stood_still(attempt_started_at_)) {
    sentinel_ = context_.target_connections.OpenSentinel(placement_.target);
  }
  return HeadAction::kRead;
}

auto RelayedRequest::RecordStatement() -> void {
  if (answer_.is_wrong_target) return;
  const auto says_so = IsFromTarget() || answer_.is_not_executed;
  // A refusal without signature is believed as far as it asks for less.
  const auto is_unsigned_refusal =
      answer_.statement.pause && answer_.request_id == request_.request_id;
  if (!says_so && !is_unsigned_refusal) return;
  answer_.statement.is_unconfirmed = !says_so;
  context_.core.RecordStatement(placement_, answer_.statement,
                                MonotonicClock::now());
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
  const auto is_too_long = !MayHold(event_splitter_.partial_event_bytes());
  if (event_splitter_.is_out_of_order() || is_too_long) BreakAttempt();
}

auto RelayedRequest::BreakAttempt() -> void {
  CloseTargetConnection();
  EndAttempt(AttemptOutcome::kBroken);
  RetryOrFail(AttemptOutcome::kBroken);
}

auto RelayedRequest::AppendToAnswer(std::string_view bytes) -> void {
  caller_->Append(bytes);
  if (caller_->unsent_bytes() < MaxUnsentBytes() ||
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

auto RelayedRequest::MaxUnsentBytes() const -> std::size_t {
  const auto requests = std::max<std::size_t>(1, context_.open_requests.size());
  const auto share =
      static_cast<std::size_t>(static_cast<double>(context_.budget.limit()) *
                               kUnsentShare) /
      requests;
  return std::clamp(share, kLeastUnsentBytes, kMaxUnsentBytes);
}

auto RelayedRequest::BufferOrRelay(std::string_view bytes) -> void {
  if (answer_state_ == AnswerState::kStarted && !is_stream_) {
    return AppendToAnswer(bytes);
  }
  buffered_body_.append(bytes);
  if (MayHold(buffered_body_.size())) return;
  // A caller may read an error slowly; without memory left, it gets the
  // router's own. It never gets a promise that its request has not run.
  const auto is_long = buffered_body_.size() > kMaxBufferedAnswerBytes;
  const auto can_relay = IsFromTarget() && !is_stream_ &&
                         !PromisesNotRun(answer_.status) &&
                         (is_long || is_success_from_target_);
  if (!can_relay) return BreakAttempt();
  BeginAnswer();
  RecordFirstByte();
  AppendToAnswer(buffered_body_);
  DropHeldAnswer();
}

auto RelayedRequest::MayHold(std::size_t bytes) -> bool {
  context_.held_answer_bytes += bytes - held_bytes_;
  held_bytes_ = bytes;
  if (bytes <= kSmallAnswerBytes) return true;
  // Beside the budget, as requests and answers must not crowd each other out.
  const auto most = std::min(kMaxHeldAnswerBytes, context_.budget.limit() / 4);
  return bytes <= kMaxBufferedAnswerBytes && context_.held_answer_bytes <= most;
}

auto RelayedRequest::DropHeldAnswer() -> void {
  buffered_body_ = std::string();
  event_splitter_.Restart();
  context_.held_answer_bytes -= std::exchange(held_bytes_, 0);
}

auto RelayedRequest::BeginAnswer() -> void {
  if (answer_state_ != AnswerState::kNotStarted) return;
  answer_state_ = AnswerState::kStarted;
  begun_status_ = answer_.status;
  caller_->BeginAnswer(answer_.status, ForwardedHeaders());
  if (accepted_request_.route->is_resumable) return;
  // The answer has started, so the request can't be sent to another target.
  DropBody();
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
  // A target that is full resets connections that it doesn't answer.
  const auto has_begun = answer_.status != 0;
  if (end == TransferEnd::kBroken && has_begun) {
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
    const auto may_be_late =
        connection != nullptr && connection->MayBeLate(now);
    return ConfirmEnd(outcome, may_be_late);
  }
  EndAnswer(outcome);
}

auto RelayedRequest::ConfirmEnd(AttemptOutcome outcome, bool may_be_late)
    -> void {
  // The connections of a killed process end like such an answer.
  const auto ended_at = MonotonicClock::now();
  context_.target_connections.CheckProcess(
      placement_.target, std::exchange(sentinel_, nullptr), ended_at,
      [&context = context_, may_be_late, since = attempt_started_at_] {
        return may_be_late || context.has_stood_still(since);
      },
      [self = shared_from_this(), outcome, ended_at](ProcessState state) {
        // The caller has left, or the deadline has passed.
        if (!self->has_open_attempt_) return;
        self->process_state_ = state;
        if (state == ProcessState::kAlive) return self->EndAnswer(outcome);
        self->ConfirmExit(outcome, state, ended_at);
      });
}

auto RelayedRequest::ConfirmExit(AttemptOutcome outcome, ProcessState state,
                                 Time ended_at) -> void {
  // Another target answers a repeatable request sooner than the store tells how
  // the process ended.
  if (state != ProcessState::kEnded || IsRepeatable(*accepted_request_.route) ||
      !context_.core.MayHaveExited(placement_.target)) {
    return EndAnswer(AttemptOutcome::kBroken);
  }
  context_.exit_check.Start(
      placement_.target, ended_at,
      [self = shared_from_this(), outcome](bool is_planned) {
        if (!self->has_open_attempt_) return;
        self->EndAnswer(is_planned ? outcome : AttemptOutcome::kBroken);
      });
}

auto RelayedRequest::EndAnswer(AttemptOutcome outcome) -> void {
  EndAttempt(outcome);
  if (outcome == AttemptOutcome::kComplete) return Complete();
  RetryOrFail(outcome);
}

auto RelayedRequest::ForwardedHeaders() const -> std::string {
  std::string lines;
  for (const auto& [name, value] : answer_.forwarded) {
    lines.append(name).append(": ").append(value).append("\r\n");
  }
  return lines;
}

}  // namespace papayaplank
