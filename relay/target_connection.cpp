// Sending of requests and reading of answers.
#include "relay/target_connection.h"

#include <array>
#include <limits>

#include "relay/loop_watch.h"
#include "relay/socket_options.h"

namespace papayaplank {
namespace {

constexpr std::size_t kMaxAnswerHeaderBytes = 32768;
// A target that takes longer to accept a connection counts as unreachable.
constexpr Duration kConnectTimeout = milliseconds(400);
// Answers, and bytes of their bodies, that are skipped while the one to the
// request is awaited.
constexpr int kMaxSkippedAnswers = 16;
constexpr std::size_t kMaxSkippedBytes = 262144;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstStatus = 100;
constexpr int kFirstSuccess = 200;
constexpr int kLastStatus = 599;

}  // namespace

auto TransferEndName(TransferEnd end) -> std::string_view {
  switch (end) {
    case TransferEnd::kComplete:
      return "framed";
    case TransferEnd::kCompleteAtClose:
      return "closed";
    case TransferEnd::kNotConnected:
      return "not_connected";
    case TransferEnd::kBroken:
      return "broken";
  }
  return "unknown";
}

TargetConnection::TargetConnection(asio::io_context& io)
    : socket_(io), connect_timer_(io) {}

auto TargetConnection::Connect(const tcp::endpoint& endpoint,
                               std::function<void(bool)> on_connected) -> void {
  on_connected_ = std::move(on_connected);
  error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) SetLongLivedOptions(socket_);
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code e) {
    if (e || self->is_connected_) return;
    self->End(TransferEnd::kNotConnected);
    self->ReportConnected(false);
  });
  socket_.async_connect(endpoint, [self = shared_from_this()](error_code e) {
    self->OnConnected(e);
  });
}

auto TargetConnection::OnConnected(error_code error) -> void {
  connect_timer_.cancel();
  if (!socket_.is_open()) return;
  if (error) {
    End(TransferEnd::kNotConnected);
    return ReportConnected(false);
  }
  is_connected_ = true;
  ReportConnected(true);
  if (!socket_.is_open()) return;
  WaitReadable();
  WriteMore();
}

auto TargetConnection::ReportConnected(bool is_connected) -> void {
  const auto on_connected = std::exchange(on_connected_, nullptr);
  if (on_connected) on_connected(is_connected);
}

auto TargetConnection::Send(std::string head,
                            std::shared_ptr<const std::string> body,
                            bool is_head_request, TransferHooks hooks) -> void {
  hooks_ = std::move(hooks);
  on_lost_ = nullptr;
  head_ = std::move(head);
  body_ = std::move(body);
  written_ = 0;
  is_busy_ = true;
  is_reusable_ = false;
  is_head_request_ = is_head_request;
  skipped_answers_ = 0;
  skipped_bytes_ = 0;
  StartReader();
  if (is_connected_) WriteMore();
}

auto TargetConnection::StartReader() -> void {
  is_head_handled_ = false;
  head_action_ = HeadAction::kRead;
  reader_.emplace(kMaxAnswerHeaderBytes,
                  std::numeric_limits<std::uint64_t>::max(),
                  [this](std::string_view bytes) {
                    HandleHead();
                    if (head_action_ != HeadAction::kRead) {
                      skipped_bytes_ += bytes.size();
                    } else if (hooks_.on_body) {
                      hooks_.on_body(bytes);
                    }
                  });
  if (is_head_request_) reader_->skip(true);
}

auto TargetConnection::WriteMore() -> void {
  if (!is_busy_) return;
  const auto total = head_.size() + (body_ ? body_->size() : 0);
  while (written_ < total) {
    std::array<asio::const_buffer, 2> buffers;
    if (written_ < head_.size()) {
      buffers[0] = asio::buffer(head_) + written_;
      if (body_) buffers[1] = asio::buffer(*body_);
    } else {
      buffers[0] = asio::buffer(*body_) + (written_ - head_.size());
    }
    error_code error;
    written_ += socket_.write_some(buffers, error);
    if (error == asio::error::would_block) {
      socket_.async_wait(tcp::socket::wait_write,
                         [self = shared_from_this()](error_code e) {
                           if (!e && self->socket_.is_open()) self->WriteMore();
                         });
      return;
    }
    // An answer may have arrived already. The system reports a reset only once,
    // so that reads then end as if the target had closed the connection.
    if (error) {
      is_reset_ = true;
      return;
    }
  }
}

auto TargetConnection::WaitReadable() -> void {
  if (is_reading_ || is_paused_ || !socket_.is_open()) return;
  is_reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->is_reading_ = false;
                       if (!error) self->OnReadable();
                     });
}

auto TargetConnection::PauseReading() -> void {
  if (!is_paused_) paused_at_ = MonotonicClock::now();
  is_paused_ = true;
}

auto TargetConnection::ResumeReading() -> void {
  if (!is_paused_) return;
  is_paused_ = false;
  const auto now = MonotonicClock::now();
  // A pause within that time prolongs it: the rest may still be unread.
  if (now - paused_at_ >= kLeastRestartTime || paused_at_ < late_until_) {
    late_until_ = now + kCatchUpTime;
  }
  WaitReadable();
}

auto TargetConnection::OnReadable() -> void {
  if (!socket_.is_open()) return;
  auto& buffer = SharedReadBuffer();
  error_code error;
  const auto count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return WaitReadable();
  if (!is_busy_) {
    // Data or a close on an idle connection belongs to no request.
    const auto on_lost = std::exchange(on_lost_, nullptr);
    Close();
    if (on_lost) on_lost();
    return;
  }
  if (error) {
    const auto is_orderly = error == asio::error::eof && !is_reset_;
    if (is_orderly && reader_->FinishAtEndOfStream()) {
      HandleHead();
      return End(head_action_ == HeadAction::kRead
                     ? TransferEnd::kCompleteAtClose
                     : TransferEnd::kBroken);
    }
    return End(TransferEnd::kBroken);
  }
  const auto self = shared_from_this();
  in_.append(buffer.data(), count);
  is_handling_input_ = true;
  HandleInput();
  is_handling_input_ = false;
  closed_hooks_ = TransferHooks{};
  WaitReadable();
}

auto TargetConnection::HandleInput() -> void {
  using Progress = ResponseReader::Progress;
  const auto progress = reader_->Read(in_);
  if (!is_busy_) return;
  switch (progress) {
    case Progress::kInvalid:
    case Progress::kUnsupportedCoding:
    case Progress::kHeaderTooLarge:
    case Progress::kBodyTooLarge:
      return End(TransferEnd::kBroken);
    case Progress::kHeader:
    case Progress::kDone:
      HandleHead();
      break;
    case Progress::kNeedMore:
      break;
  }
  if (!is_busy_) return;
  if (head_action_ == HeadAction::kBreak || skipped_bytes_ > kMaxSkippedBytes) {
    return End(TransferEnd::kBroken);
  }
  if (progress != Progress::kDone) return;
  if (head_action_ == HeadAction::kSkip) return SkipAnswer();
  const auto total = head_.size() + (body_ ? body_->size() : 0);
  is_reusable_ = in_.empty() && written_ == total && reader_->keep_alive();
  End(TransferEnd::kComplete);
}

auto TargetConnection::HandleHead() -> void {
  if (is_head_handled_) return;
  is_head_handled_ = true;
  const auto status = reader_->status();
  if (status == kSwitchingProtocols || status < kFirstStatus ||
      status > kLastStatus) {
    // The router never asks for another protocol; other numbers are no status.
    head_action_ = HeadAction::kBreak;
  } else if (status < kFirstSuccess) {
    head_action_ = HeadAction::kSkip;  // An interim answer.
  } else if (hooks_.on_head) {
    head_action_ = hooks_.on_head(status, reader_->fields());
  }
}

auto TargetConnection::SkipAnswer() -> void {
  if (++skipped_answers_ > kMaxSkippedAnswers) {
    return End(TransferEnd::kBroken);
  }
  StartReader();
  HandleInput();
}

auto TargetConnection::End(TransferEnd end) -> void {
  if (!is_busy_) return Close();
  is_busy_ = false;
  const auto hooks = std::exchange(hooks_, TransferHooks{});
  body_.reset();
  head_.clear();
  if (!is_reusable_) Close();
  if (hooks.on_end) hooks.on_end(end);
}

auto TargetConnection::CheckDelivery(Time now) -> void {
  if (!is_busy_ || !is_connected_) return;
  const auto state = ReadDeliveryState(socket_);
  if (state && delivery_watch_.IsLost(*state, now)) End(TransferEnd::kBroken);
}

auto TargetConnection::MarkIdle(std::function<void()> on_lost) -> void {
  on_lost_ = std::move(on_lost);
  in_ = std::string();
  is_paused_ = false;
  late_until_ = {};
  WaitReadable();
}

auto TargetConnection::RecordRequest(std::string_view request_id) -> void {
  request_ids_[next_request_id_] = StableHash(request_id);
  next_request_id_ = (next_request_id_ + 1) % kKeptRequestIds;
}

auto TargetConnection::HasCarried(std::string_view request_id) const -> bool {
  return std::find(request_ids_.begin(), request_ids_.end(),
                   StableHash(request_id)) != request_ids_.end();
}

auto TargetConnection::HasUnexpectedInput() -> bool {
  std::array<char, 1> byte{};
  error_code error;
  socket_.receive(asio::buffer(byte), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

auto TargetConnection::Close() -> void {
  is_busy_ = false;
  is_reusable_ = false;
  connect_timer_.cancel();
  auto hooks = std::exchange(hooks_, TransferHooks{});
  if (is_handling_input_) closed_hooks_ = std::move(hooks);
  error_code ignored;  // The socket is closed whatever its state.
  if (socket_.is_open()) socket_.close(ignored);
}

}  // namespace papayaplank
