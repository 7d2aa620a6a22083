// Reading of requests and writing of answers.
#include "relay/http_connection.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

#include "platform/platform.h"
#include "relay/socket_options.h"

namespace papayaplank {
namespace {

// Bytes of pipelined requests that are buffered while an answer is written.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Reads of what a caller still sends when its connection is closed.
constexpr int kMaxReadsAtClose = 64;
// Short heads and bodies aren't counted one by one.
constexpr std::size_t kUncountedBytes = 4096;

auto ExpectsContinue(const HttpFields& fields) -> bool {
  for (const auto& [name, value] : fields) {
    if (boost::beast::iequals(name, "Expect")) return true;
  }
  return false;
}

auto ToCallerEnd(const error_code& error) -> CallerEnd {
  if (error == asio::error::eof) return CallerEnd::kClosed;
  if (error == asio::error::timed_out) return CallerEnd::kLost;
  return CallerEnd::kReset;
}

}  // namespace

auto CallerEndName(CallerEnd end) -> std::string_view {
  switch (end) {
    case CallerEnd::kNone:
      return "";
    case CallerEnd::kClosed:
      return "closed";
    case CallerEnd::kReset:
      return "reset";
    case CallerEnd::kLost:
      return "lost";
  }
  return "";
}

HttpConnection::HttpConnection(tcp::socket socket, const tcp::endpoint& caller,
                               CallerLimits limits, RequestHook on_request,
                               MemoryBudget& budget)
    : socket_(std::move(socket)),
      caller_(caller),
      limits_(limits),
      on_request_(std::move(on_request)),
      budget_(budget) {}

HttpConnection::~HttpConnection() {
  budget_.Remove(holder());
  Count(HeldKind::kUnsentAnswer, counted_unsent_, 0);
  Count(HeldKind::kPipelined, counted_pipelined_, 0);
}

auto HttpConnection::Count(HeldKind kind, std::size_t& counted,
                           std::size_t bytes) -> void {
  if (bytes == counted) return;
  budget_.Subtract(kind, counted);
  budget_.Add(kind, bytes);
  counted = bytes;
}

auto HttpConnection::MaxPipelinedBytes() const -> std::size_t {
  return budget_.Fits(kMaxPipelinedBytes) ? kMaxPipelinedBytes
                                          : kUncountedBytes;
}

auto HttpConnection::UpdateHeld(Time now) -> void {
  // An empty request that a connection may yet send costs no more than the
  // connection itself.
  const auto held = body_.capacity() + in_.capacity();
  Count(HeldKind::kPipelined, counted_pipelined_,
        is_answering_ ? in_.capacity() : 0);
  const auto is_reading = reader_.has_value() || !in_.empty();
  if (is_answering_ || is_closing_ || !is_reading || held <= kUncountedBytes) {
    return budget_.Remove(holder());
  }
  const auto has_head = reader_ && reader_->is_header_done();
  const auto owner =
      has_head ? FindApiKey(reader_->fields()) : std::string_view();
  budget_.Update(holder(), owner, held, now);
  const auto on_held = on_held_;
  if (on_held) on_held();
}

auto HttpConnection::GiveUp() -> void {
  if (is_answering_ || is_closing_ || !is_open()) return;
  budget_.Remove(holder());
  // Assigning an empty text would keep the memory.
  std::string().swap(body_);
  std::string().swap(in_);
  const auto has_head = reader_ && reader_->is_header_done();
  if (!has_head) {
    // An earlier answer may not be sent yet.
    is_closing_ = true;
    return out_.empty() ? Close() : void();
  }
  constexpr int kUnavailable = 503;
  is_answering_ = true;
  is_last_answer_ = true;
  Answer(kUnavailable, "Retry-After: 1\r\n", "");
}

auto HttpConnection::Start(Hook on_closed) -> void {
  on_closed_ = std::move(on_closed);
  error_code ignored;  // A failed socket reports the error on its next use.
  socket_.non_blocking(true, ignored);
  last_activity_ = MonotonicClock::now();
  WaitReadable();
}

auto HttpConnection::SetCallerLeftHook(Hook hook) -> void {
  on_caller_left_ = std::move(hook);
  if (!on_caller_left_ || has_keep_alive_probes_) return;
  has_keep_alive_probes_ = true;
  SetLongLivedOptions(socket_);
}

auto HttpConnection::Close() -> void {
  if (!socket_.is_open()) return;
  // The hooks may drop the last reference to the connection.
  const auto self = shared_from_this();
  error_code ignored;  // The socket is closed whatever its state.
  if (is_unframed_ && (is_answering_ || !out_.empty())) {
    // An orderly end would complete the answer; this one resets the connection.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
  budget_.Remove(holder());
  is_answering_ = false;
  on_all_sent_ = nullptr;
  const auto on_left = std::exchange(on_caller_left_, nullptr);
  if (on_left) on_left();
  const auto on_closed = std::exchange(on_closed_, nullptr);
  if (on_closed) on_closed();
}

auto HttpConnection::WaitReadable() -> void {
  if (is_reading_ || !socket_.is_open()) return;
  if (is_answering_ && in_.size() >= MaxPipelinedBytes()) return;
  is_reading_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->is_reading_ = false;
                       if (!error) self->OnReadable();
                     });
}

auto HttpConnection::OnReadable() -> void {
  if (!socket_.is_open()) return;
  auto& buffer = SharedReadBuffer();
  error_code error;
  const auto count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return WaitReadable();
  if (error) {
    caller_end_ = ToCallerEnd(error);
    return Close();
  }
  last_activity_ = MonotonicClock::now();
  // What follows the last answer is read only so that closing resets nothing.
  if (!is_closing_) in_.append(buffer.data(), count);
  HandleInput();
  UpdateHeld(last_activity_);
  WaitReadable();
}

auto HttpConnection::HandleInput() -> void {
  if (is_answering_ || is_closing_ || in_.empty()) return;
  if (!reader_) {
    body_.clear();
    has_sent_continue_ = false;
    request_began_at_ = MonotonicClock::now();
    reader_.emplace(limits_.header_bytes, limits_.body_bytes,
                    [this](std::string_view bytes) { body_.append(bytes); });
  }
  using Progress = RequestReader::Progress;
  constexpr int kBadRequest = 400;
  constexpr int kBodyTooLarge = 413;
  constexpr int kHeadersTooLarge = 431;
  constexpr int kNotImplemented = 501;
  switch (reader_->Read(in_)) {
    case Progress::kInvalid:
      return Reject(kBadRequest);
    case Progress::kUnsupportedCoding:
      return Reject(kNotImplemented);
    case Progress::kHeaderTooLarge:
      return Reject(kHeadersTooLarge);
    case Progress::kBodyTooLarge:
      return Reject(kBodyTooLarge);
    case Progress::kDone:
      return Dispatch();
    case Progress::kHeader:
    case Progress::kNeedMore:
      break;
  }
  if (!reader_->is_header_done()) {
    if (in_.size() > limits_.header_bytes) Reject(kHeadersTooLarge);
    return;
  }
  if (has_sent_continue_ || !ExpectsContinue(reader_->fields())) return;
  has_sent_continue_ = true;
  Write("HTTP/1.1 100 Continue\r\n\r\n");
}

auto HttpConnection::Reject(int status) -> void {
  is_answering_ = true;
  is_last_answer_ = true;
  Answer(status, "", "");
}

auto HttpConnection::HasCallerLeft() -> bool {
  if (in_.size() >= kMaxPipelinedBytes) return false;
  auto& buffer = SharedReadBuffer();
  error_code error;
  const auto count = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return false;
  if (error) {
    caller_end_ = ToCallerEnd(error);
    return true;
  }
  in_.append(buffer.data(), count);
  return false;
}

auto HttpConnection::Dispatch() -> void {
  HttpServerRequest request;
  request.method = reader_->method();
  request.request_target = reader_->request_target();
  request.fields = std::move(reader_->fields());
  request.body = std::move(body_);
  body_ = std::string();
  if (!reader_->keep_alive()) is_last_answer_ = true;
  is_http_1_0_ = reader_->is_http_1_0();
  is_head_request_ = request.method == "HEAD";
  reader_.reset();
  is_answering_ = true;
  has_served_ = true;
  budget_.Remove(holder());
  if (in_.empty()) std::string().swap(in_);
  on_request_(shared_from_this(), std::move(request));
}

auto HttpConnection::AnswerHead(int status, std::string_view headers) const
    -> std::string {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason.data(), reason.size()).append("\r\n").append(headers);
  if (is_last_answer_) head.append("Connection: close\r\n");
  return head;
}

auto HttpConnection::Answer(int status, std::string_view headers,
                            std::string_view body) -> void {
  if (!is_answering_) return;
  auto message = AnswerHead(status, headers);
  message.append("Content-Length: ").append(std::to_string(body.size()));
  message.append("\r\n\r\n");
  if (!is_head_request_) message.append(body);
  Write(message);
  EndAnswer();
}

auto HttpConnection::BeginAnswer(int status, std::string_view headers) -> void {
  if (!is_answering_) return;
  if (is_http_1_0_) {
    is_unframed_ = true;
    is_last_answer_ = true;
    return Write(AnswerHead(status, headers) + "\r\n");
  }
  is_chunked_ = true;
  Write(AnswerHead(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

auto HttpConnection::Append(std::string_view bytes) -> void {
  if (!is_answering_ || bytes.empty() || is_head_request_) return;
  if (is_unframed_) return Write(bytes);
  std::array<char, 20> size{};
  const auto length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(bytes.size() + size.size());
  chunk.append(size.data(), static_cast<std::size_t>(length));
  chunk.append(bytes).append("\r\n");
  Write(chunk);
}

auto HttpConnection::FinishAnswer() -> void {
  if (!is_answering_) return;
  if (is_chunked_ && !is_head_request_) Write("0\r\n\r\n");
  is_chunked_ = false;
  EndAnswer();
}

auto HttpConnection::EndAnswer() -> void {
  is_answering_ = false;
  on_caller_left_ = nullptr;
  on_all_sent_ = nullptr;
  last_activity_ = MonotonicClock::now();
  if (is_last_answer_) {
    is_closing_ = true;
    if (out_.empty()) CloseGracefully();
    return;
  }
  // The next request may have been received already. It is handled from the
  // event loop, so that pipelined requests don't deepen the stack.
  if (in_.empty()) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->HandleInput();
    self->UpdateHeld(MonotonicClock::now());
    self->WaitReadable();
  });
}

auto HttpConnection::CloseGracefully() -> void {
  error_code ignored;  // The caller may have closed first.
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  // Closing with unread bytes would send a reset, and the answer could be lost.
  // Bounded, as a caller may send without end.
  auto& buffer = SharedReadBuffer();
  for (int i = 0; i < kMaxReadsAtClose && socket_.is_open(); ++i) {
    if (socket_.read_some(asio::buffer(buffer), ignored) == 0) break;
  }
  Close();
}

auto HttpConnection::Write(std::string_view bytes) -> void {
  if (!socket_.is_open()) return;
  std::size_t sent = 0;
  if (out_.empty()) {
    error_code error;
    sent = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block) return Close();
  }
  if (sent == bytes.size()) return;
  out_.append(bytes.substr(sent));
  Count(HeldKind::kUnsentAnswer, counted_unsent_, out_.size());
  WaitWritable();
}

auto HttpConnection::WaitWritable() -> void {
  if (is_writing_ || !socket_.is_open()) return;
  is_writing_ = true;
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](error_code error) {
                       self->is_writing_ = false;
                       if (!error) self->OnWritable();
                     });
}

auto HttpConnection::OnWritable() -> void {
  if (!socket_.is_open()) return;
  error_code error;
  const auto sent =
      socket_.write_some(asio::buffer(out_.data(), out_.size()), error);
  if (error && error != asio::error::would_block) return Close();
  out_.erase(0, sent);
  Count(HeldKind::kUnsentAnswer, counted_unsent_, out_.size());
  if (!out_.empty()) return WaitWritable();
  out_.shrink_to_fit();
  if (is_closing_) return CloseGracefully();
  // Copied, since the hook may end the answer, which clears `on_all_sent_`.
  const auto on_all_sent = on_all_sent_;
  if (on_all_sent) on_all_sent();
}

auto HttpConnection::IsCallerLost(Time now) -> bool {
  if (!socket_.is_open() || (!is_answering_ && out_.empty())) return false;
  const auto state = ReadDeliveryState(socket_);
  return state && delivery_watch_.IsLost(*state, now);
}

auto HttpConnection::CheckTimeouts(Time now) -> void {
  if (IsCallerLost(now)) {
    caller_end_ = CallerEnd::kLost;
    return Close();
  }
  const auto inactive_for = now - last_activity_;
  if (is_answering_) return;
  constexpr int kRequestTimeout = 408;
  const auto is_reading_head = reader_ && !reader_->is_header_done();
  const auto is_head_late =
      is_reading_head && now - request_began_at_ > limits_.header_timeout;
  const auto is_silent = inactive_for > limits_.header_timeout;
  if (is_head_late || (is_reading_request() && is_silent)) {
    return Reject(kRequestTimeout);
  }
  if (inactive_for > limits_.idle_timeout) Close();
}

}  // namespace papayaplank
