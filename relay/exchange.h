// One request from its arrival to its final answer: placement, sends, the
// relay of the answer, and another target when one fails.
#ifndef RELAY_EXCHANGE_H_
#define RELAY_EXCHANGE_H_

#include <memory>
#include <string>

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "relay/event_splitter.h"
#include "relay/http_connection.h"
#include "relay/relay_context.h"
#include "relay/target_connection.h"

namespace papayaplank {

// Lives until the answer is complete or the caller has left.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(RelayContext& context, std::shared_ptr<HttpConnection> caller,
           HttpServerRequest request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  auto operator=(const Exchange&) -> Exchange& = delete;

  auto Start() -> void;

 private:
  // What of the answer has gone to the caller.
  enum class Stage { kWaiting, kBegun, kEnded };

  auto PlaceAndSend() -> void;
  auto Send() -> void;
  auto OnHead(int status, const HttpFields& fields) -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto OnTransferEnd(TransferEnd end) -> void;
  auto JudgeAnswer(TransferEnd end) const -> AttemptOutcome;
  auto IsOwnAnswer() const -> bool;
  auto RelayEvents(std::string_view bytes) -> void;
  auto HoldOrRelay(std::string_view bytes) -> void;
  auto BeginAnswer() -> void;
  auto EndSend(AttemptOutcome outcome) -> void;
  auto DropTarget() -> void;
  auto Complete() -> void;
  auto FailAfter(AttemptOutcome outcome) -> void;
  auto Refuse(const Refusal& refusal) -> void;
  auto Finish() -> void;
  auto OnCallerLeft() -> void;
  auto OnDeadline() -> void;
  auto ArmDeadline() -> void;
  auto RecordFirstByte() -> void;
  // The only answer of the request has ended with this outcome.
  auto RecordAnswer(std::string_view outcome, Time now) -> void;
  auto Labels() const -> RequestLabels;
  auto Log(LogClass log_class, std::string_view event, std::string_view outcome,
           Time now) -> void;

  RelayContext& context_;
  std::shared_ptr<HttpConnection> caller_;
  CallerRequest request_;
  std::shared_ptr<const std::string> body_;
  GatewayRequest accepted_;
  Placement placement_;
  std::shared_ptr<TargetConnection> target_;
  asio::steady_timer deadline_timer_;
  Time arrived_at_{};
  Time sent_at_{};
  // Since arrival; zero if no answer has begun.
  Duration first_byte_after_{};
  // What the newest decision about admission rested on.
  AdmissionFacts facts_;
  // What the caller was told; zero if nothing.
  Duration retry_after_{};
  Stage stage_ = Stage::kWaiting;
  // Whether a send is counted at the target.
  bool is_placed_ = false;
  // The newest send may have reached a target that ran the request.
  bool may_have_run_ = false;
  bool is_stream_ = false;
  // Of the newest send.
  TargetAnswer answer_;
  bool is_head_good_ = false;
  // Answer bytes that are held until the answer is known to be whole.
  std::string held_;
  EventSplitter events_;
  // Events that the caller has.
  std::int64_t events_relayed_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_EXCHANGE_H_
