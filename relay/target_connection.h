// Client side of one HTTP/1.1 connection, which carries one request at a time.
// Most connect to targets; `HttpClient` uses it for the store and for peers.
#ifndef RELAY_TARGET_CONNECTION_H_
#define RELAY_TARGET_CONNECTION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/asio.h"
#include "relay/delivery_watch.h"
#include "relay/message_reader.h"

namespace papayaplank {

// How the transfer of one request and its answer ended.
enum class TransferEnd {
  kComplete,
  // Neither a length nor chunks show that nothing is missing: the end of the
  // connection ended the answer.
  kCompleteAtClose,
  kNotConnected,  // No byte was sent.
  kBroken,        // The connection or the answer broke off.
};

// Name of an end, as it stands in logs and metrics.
auto TransferEndName(TransferEnd end) -> std::string_view;

// What the owner of a transfer decides by the head of an answer.
enum class HeadAction {
  kRead,
  kSkip,   // It answers another request; the next answer is read.
  kBreak,  // The transfer ends as broken.
};

// Callbacks to the owner of a transfer. None is called after `on_end` or after
// `Close`.
struct TransferHooks {
  std::function<HeadAction(int status, const HttpFields&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(TransferEnd)> on_end;
};

// A connection that is being opened, busy, or idle.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  explicit TargetConnection(asio::io_context& io);

  // Starts to connect. `Send` may be called before the connection is open.
  // `on_connected`, which may be null, gets whether the target accepted it.
  auto Connect(const tcp::endpoint& endpoint,
               std::function<void(bool)> on_connected = nullptr) -> void;
  // Sends a request. `head` ends with its empty line; `body` may be null.
  auto Send(std::string head, std::shared_ptr<const std::string> body,
            bool is_head_request, TransferHooks hooks) -> void;
  auto Close() -> void;
  // Breaks the transfer off if the other end is lost; called periodically.
  auto CheckDelivery(Time now) -> void;

  // Flow control: reading pauses while the caller is slow.
  auto PauseReading() -> void;
  auto ResumeReading() -> void;
  // Whether reading was paused lately for so long that what is read now may
  // have arrived long ago.
  auto MayBeLate(Time now) const -> bool { return now < late_until_; }

  // Marks the connection idle; `on_lost` is called when the target closes it or
  // sends unexpected data.
  auto MarkIdle(std::function<void()> on_lost) -> void;

  // Whether the socket of an idle connection holds bytes, or was closed by the
  // other end; the connection can't carry another request then.
  auto HasUnexpectedInput() -> bool;

  // Records the id of a request that was sent; the latest ones are kept.
  auto RecordRequest(std::string_view request_id) -> void;
  // Whether the connection has carried the request, as far as is known.
  auto HasCarried(std::string_view request_id) const -> bool;

  // Records that an answer was a refusal, which the target may repeat.
  auto RecordRefusal() -> void { has_carried_refusal_ = true; }
  auto has_carried_refusal() const -> bool { return has_carried_refusal_; }

  auto is_open() const -> bool { return socket_.is_open(); }
  auto is_busy() const -> bool { return is_busy_; }
  // Whether only the end of the connection ends the answer whose head arrived.
  auto is_answer_unframed() const -> bool {
    return reader_ && reader_->is_header_done() && reader_->need_eof();
  }
  // Whether the connection can carry another request after a complete answer.
  auto is_reusable() const -> bool { return is_reusable_; }

 private:
  // A late answer follows few other requests.
  static constexpr std::size_t kKeptRequestIds = 8;

  auto OnConnected(error_code error) -> void;
  auto ReportConnected(bool is_connected) -> void;
  auto WriteMore() -> void;
  auto WaitReadable() -> void;
  auto OnReadable() -> void;
  auto StartReader() -> void;
  auto HandleInput() -> void;
  auto HandleHead() -> void;
  auto SkipAnswer() -> void;
  auto End(TransferEnd end) -> void;

  tcp::socket socket_;
  asio::steady_timer connect_timer_;
  TransferHooks hooks_;
  // Hooks of a transfer that one of them has closed; kept alive until that
  // hook returns.
  TransferHooks closed_hooks_;
  std::function<void()> on_lost_;
  std::function<void(bool)> on_connected_;
  std::optional<ResponseReader> reader_;
  // Bytes received and not parsed yet.
  std::string in_;
  // Head and body of the request, and the number of their bytes that the socket
  // has taken.
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::size_t written_ = 0;
  DeliveryWatch delivery_watch_;
  bool is_connected_ = false;
  // A write has failed, so the connection can't end in an orderly way.
  bool is_reset_ = false;
  bool is_busy_ = false;
  bool is_head_request_ = false;
  bool is_head_handled_ = false;
  HeadAction head_action_ = HeadAction::kRead;
  // Answers skipped since the request was sent, and the bytes of their bodies.
  int skipped_answers_ = 0;
  std::size_t skipped_bytes_ = 0;
  bool is_reading_ = false;
  bool is_handling_input_ = false;
  bool is_paused_ = false;
  // When the latest pause began, and until when its delay may show.
  Time paused_at_{};
  Time late_until_{};
  bool is_reusable_ = false;
  bool has_carried_refusal_ = false;
  // Hashes of the ids of the latest requests; zero for none.
  std::array<std::uint64_t, kKeptRequestIds> request_ids_{};
  std::size_t next_request_id_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_TARGET_CONNECTION_H_
