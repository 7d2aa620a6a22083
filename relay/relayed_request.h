// One request of a caller, from its arrival to the end of its answer: choice
// of a target, attempts, relay of the answer, and retries on other targets.
#ifndef RELAY_RELAYED_REQUEST_H_
#define RELAY_RELAYED_REQUEST_H_

#include <memory>
#include <optional>
#include <string>

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "relay/answer_origin.h"
#include "relay/event_splitter.h"
#include "relay/http_connection.h"
#include "relay/relay_context.h"
#include "relay/target_connection.h"

namespace papayaplank {

// The hooks of its connections own it; it is destroyed after the
// answer has ended or the caller has left.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(RelayContext& context, std::shared_ptr<HttpConnection> caller,
                 HttpServerRequest request);
  ~RelayedRequest();
  RelayedRequest(const RelayedRequest&) = delete;
  auto operator=(const RelayedRequest&) -> RelayedRequest& = delete;

  auto Start() -> void;
  // The process is about to end: answers the caller if it has no answer yet,
  // and cuts an answer that has begun.
  auto EndForStop() -> void;

 private:
  // How much of the answer was written to the caller.
  enum class AnswerState { kNotStarted, kStarted, kEnded };

  auto StartAttempt() -> void;
  // Waits for a permit before the attempt.
  auto WaitForPermit(const PermitWait& wait) -> void;
  auto StopWaitingForPermit() -> void;
  auto SendToTarget() -> void;
  auto OnHead(int status, const HttpFields& fields) -> HeadAction;
  // Tells the core what the answer says of the target.
  auto RecordStatement() -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto OnTransferEnd(TransferEnd end) -> void;
  auto ClassifyAnswer(TransferEnd end) const -> AttemptOutcome;
  // Ends an answer that ended with its connection: as broken if the target
  // doesn't live on, or if the end may be too old to tell.
  auto ConfirmEnd(AttemptOutcome outcome, bool may_be_late) -> void;
  // Ends an answer with which the target's process ended, as far as is known:
  // as broken, unless the process exited as planned.
  auto ConfirmExit(AttemptOutcome outcome, ProcessState state, Time ended_at)
      -> void;
  auto EndAnswer(AttemptOutcome outcome) -> void;
  // Whether the answer was produced by the target for this request, not by a
  // proxy in between.
  auto IsFromTarget() const -> bool;
  auto RelayEvents(std::string_view bytes) -> void;
  auto BufferOrRelay(std::string_view bytes) -> void;
  // Counts the bytes that this request holds back. Whether it may hold them:
  // its own are limited, and so are those of all requests.
  auto MayHold(std::size_t bytes) -> bool;
  // Drops the body of the request, which can't be sent again then.
  auto DropBody() -> void;
  // Drops what the request holds back of an answer.
  auto DropHeldAnswer() -> void;
  // Ends the attempt because of what the target sent.
  auto BreakAttempt() -> void;
  auto BeginAnswer() -> void;
  // Header lines of the target's answer that go to the caller.
  auto ForwardedHeaders() const -> std::string;
  // Writes to the caller; pauses the target while the caller is slow.
  auto AppendToAnswer(std::string_view bytes) -> void;
  // Unread bytes of its answer at which reading from the target pauses.
  auto MaxUnsentBytes() const -> std::size_t;
  auto EndAttempt(AttemptOutcome outcome) -> void;
  auto CloseTargetConnection() -> void;
  auto Complete() -> void;
  auto RetryOrFail(AttemptOutcome outcome) -> void;
  // Ends a begun answer so that the caller sees that it is incomplete.
  auto CutAnswer(std::string_view cause) -> void;
  auto Refuse(const Refusal& refusal) -> void;
  auto Finish() -> void;
  auto OnCallerLeft() -> void;
  auto OnDeadline() -> void;
  auto ArmDeadline() -> void;
  auto RecordFirstByte() -> void;
  // Counts the end of the request for the metrics; called once.
  auto RecordAnswer(std::string_view outcome, Time now) -> void;
  auto MetricLabels() const -> RequestLabels;
  auto Log(LogClass log_class, std::string_view event, std::string_view outcome,
           Time now) -> void;

  RelayContext& context_;
  std::shared_ptr<HttpConnection> caller_;
  CallerRequest request_;
  std::shared_ptr<const std::string> body_;
  // Bytes of the body that the memory budget counts.
  std::size_t counted_body_ = 0;
  GatewayRequest accepted_request_;
  Placement placement_;
  std::shared_ptr<TargetConnection> target_connection_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer permit_timer_;
  // The permit that the request waits for.
  std::optional<PermitNonce> awaited_permit_;
  Time arrived_at_{};
  Time attempt_started_at_{};
  // Time from arrival to the first byte for the caller; zero before that.
  Duration first_byte_delay_{};
  // Inputs of the latest admission decision, for the log.
  AdmissionFacts admission_facts_;
  // Part for which the request was refused.
  std::optional<PartId> quarantined_part_;
  // When the request began to wait for a permit, and how long it has waited for
  // permits in all.
  Time permit_asked_at_{};
  Duration permit_wait_{};
  // Value of the Retry-After header that the caller got; zero for none.
  Duration retry_after_{};
  AnswerState answer_state_ = AnswerState::kNotStarted;
  // Status that the caller got, if the answer has started. Only an answer with
  // the same status can continue a stream.
  int begun_status_ = 0;
  // Whether the core counts an attempt that has not ended.
  bool has_open_attempt_ = false;
  // Whether a target may have executed the request in any attempt so far.
  bool may_have_run_ = false;
  bool is_stream_ = false;
  // Head of the answer to the latest attempt; empty until it arrives.
  TargetAnswer answer_;
  // Held while the target sends an answer that ends with its connection.
  std::shared_ptr<ProcessSentinel> sentinel_;
  // How the latest transfer ended; nothing while it goes on, or if the router
  // ended it.
  std::optional<TransferEnd> transfer_end_;
  // What the latest answer, if it ended with its connection, showed of the
  // target's process.
  std::optional<ProcessState> process_state_;
  // Whether that head has a 2xx status and comes from the target itself.
  bool is_success_from_target_ = false;
  // Whether the latest attempt brought an event that the caller didn't have.
  bool has_attempt_events_ = false;
  // Answer bytes that are buffered until the answer is complete, or too long to
  // be buffered.
  std::string buffered_body_;
  // This request's part of the bytes that all requests hold back.
  std::size_t held_bytes_ = 0;
  EventSplitter event_splitter_;
  // Number of events that were written to the caller.
  std::int64_t relayed_events_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_RELAYED_REQUEST_H_
