// One connection to a target; it carries one request at a time.
#ifndef RELAY_TARGET_CONNECTION_H_
#define RELAY_TARGET_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/asio.h"
#include "relay/message_reader.h"

namespace papayaplank {

// How the transfer of one request and its answer ended.
enum class TransferEnd {
  kComplete,
  kNotConnected,  // No byte was sent.
  kBroken,        // The connection or the answer broke off.
};

// What the owner of a transfer hears. No hook is called after `on_end`, or
// after `Close`.
struct TransferHooks {
  std::function<void(int status, const HttpFields&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(TransferEnd)> on_end;
};

// A connection that is being opened, busy, or idle.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  explicit TargetConnection(asio::io_context& io);

  // Opens the connection; requests may be sent at once and wait for it.
  auto Connect(const tcp::endpoint& endpoint) -> void;
  // Sends a request. `body` is kept until it is sent.
  auto Send(std::string head, std::shared_ptr<const std::string> body,
            bool is_head_request, TransferHooks hooks) -> void;
  auto Close() -> void;

  // Stops and resumes reading, while the caller is slow.
  auto PauseReading() -> void { is_paused_ = true; }
  auto ResumeReading() -> void;

  // Idle connections call `on_lost` when the target closes them.
  auto SetIdle(std::function<void()> on_lost) -> void;

  auto is_open() const -> bool { return socket_.is_open(); }
  // Whether another request may follow the complete answer.
  auto is_reusable() const -> bool { return is_reusable_; }

 private:
  auto OnConnected(error_code error) -> void;
  auto WriteMore() -> void;
  auto WaitReadable() -> void;
  auto OnReadable() -> void;
  auto HandleInput() -> void;
  auto HandleHead() -> void;
  auto End(TransferEnd end) -> void;

  tcp::socket socket_;
  asio::steady_timer connect_timer_;
  TransferHooks hooks_;
  // Hooks of a transfer that was closed by one of them; kept while it runs.
  TransferHooks retired_hooks_;
  std::function<void()> on_lost_;
  std::optional<ResponseReader> reader_;
  std::string in_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  std::size_t written_ = 0;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_head_request_ = false;
  bool is_head_handled_ = false;
  bool is_reading_ = false;
  bool is_handling_input_ = false;
  bool is_paused_ = false;
  bool is_reusable_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_TARGET_CONNECTION_H_
