// Server side of one caller's HTTP/1.1 connection: reads requests one after
// another, writes their answers, and detects at once that the caller has left.
#ifndef RELAY_HTTP_CONNECTION_H_
#define RELAY_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admission/admission.h"
#include "relay/asio.h"
#include "relay/delivery_watch.h"
#include "relay/message_reader.h"
#include "routing/routing.h"

namespace papayaplank {

// A complete request.
struct HttpServerRequest {
  std::string method;
  std::string request_target;
  HttpFields fields;
  std::string body;
};

// How a caller left, as far as its connection tells.
enum class CallerEnd {
  kNone,  // It has not left, or the router closed the connection.
  kClosed,
  kReset,
  kLost,  // It answers nothing any more.
};

// Name of an end, as it stands in logs.
auto CallerEndName(CallerEnd end) -> std::string_view;

// Calls `on_request` with each request; each gets exactly one answer through
// the methods below.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using RequestHook =
      std::function<void(std::shared_ptr<HttpConnection>, HttpServerRequest)>;
  using Hook = std::function<void()>;

  // `budget` counts what the connection holds, and outlives it.
  HttpConnection(tcp::socket socket, const tcp::endpoint& caller,
                 CallerLimits limits, RequestHook on_request,
                 MemoryBudget& budget);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  auto operator=(const HttpConnection&) -> HttpConnection& = delete;

  // `on_closed` is called once, when the connection has ended.
  auto Start(Hook on_closed) -> void;
  auto Close() -> void;

  // Called when the caller closes the connection, or is lost, before its answer
  // is complete. The first hook turns on TCP keep-alive probes, which detect a
  // lost caller.
  auto SetCallerLeftHook(Hook hook) -> void;
  // Reads from the socket, keeps the bytes for the next request, and returns
  // whether the caller has closed the connection. Checked before a target is
  // chosen, since an overloaded router may handle a request only after its
  // caller has given up.
  auto HasCallerLeft() -> bool;
  // Called when the socket has taken all bytes written so far.
  auto SetAllSentHook(Hook hook) -> void { on_all_sent_ = std::move(hook); }

  // Writes a complete answer. `headers` are lines that end with CR LF.
  auto Answer(int status, std::string_view headers, std::string_view body)
      -> void;
  // Writes an answer of unknown length: begin, append, finish. It is chunked,
  // or ends with the connection for a caller of HTTP/1.0.
  auto BeginAnswer(int status, std::string_view headers) -> void;
  auto Append(std::string_view bytes) -> void;
  auto FinishAnswer() -> void;
  // Closes the connection, so that the caller sees an incomplete answer.
  auto AbortAnswer() -> void { Close(); }

  // Called after bytes of an unfinished request have arrived.
  auto SetHeldHook(Hook hook) -> void { on_held_ = std::move(hook); }
  // Ends the unfinished request: with 503 if its head has arrived, as it has
  // not run, and then closes the connection.
  auto GiveUp() -> void;

  // Closes the connection after its current or next answer.
  auto CloseAfterAnswer() -> void { is_last_answer_ = true; }

  // Closes the connection if it was idle for longer than `idle_timeout`.
  // Answers an unfinished request with 408, and then closes, if its head takes
  // longer than `header_timeout`, or if no byte of its body has arrived for so
  // long.
  auto CheckTimeouts(Time now) -> void;

  auto is_open() const -> bool { return socket_.is_open(); }
  auto caller_address() const -> std::string {
    return caller_.address().to_string();
  }
  auto is_answering() const -> bool { return is_answering_; }
  // The last answer is complete, and nothing more is read.
  auto is_closing() const -> bool { return is_closing_; }
  // Whether a part of a request has arrived, and not yet all of it.
  auto is_reading_request() const -> bool {
    return !is_answering_ && !is_closing_ &&
           (reader_.has_value() || !in_.empty());
  }
  // Whether it has carried a complete request.
  auto has_served() const -> bool { return has_served_; }
  // When bytes arrived last, or an answer ended.
  auto last_activity() const -> Time { return last_activity_; }
  // Names what it holds in the memory budget.
  auto holder() const -> HolderId {
    return HolderId(reinterpret_cast<std::uintptr_t>(this));
  }
  // Bytes of answers that the socket has not taken yet.
  auto caller_end() const -> CallerEnd { return caller_end_; }
  auto unsent_bytes() const -> std::size_t { return out_.size(); }

 private:
  // Counts what the connection holds of an unfinished request.
  auto UpdateHeld(Time now) -> void;
  // Counts bytes of the kind; `counted` is the part that was counted before.
  auto Count(HeldKind kind, std::size_t& counted, std::size_t bytes) -> void;
  // Bytes that may be buffered while an answer is written.
  auto MaxPipelinedBytes() const -> std::size_t;
  // Whether the caller answers nothing though bytes are under way to it.
  auto IsCallerLost(Time now) -> bool;
  auto WaitReadable() -> void;
  auto OnReadable() -> void;
  auto HandleInput() -> void;
  auto Reject(int status) -> void;
  auto Dispatch() -> void;
  auto EndAnswer() -> void;
  auto CloseGracefully() -> void;
  auto Write(std::string_view bytes) -> void;
  auto WaitWritable() -> void;
  auto OnWritable() -> void;
  auto AnswerHead(int status, std::string_view headers) const -> std::string;

  tcp::socket socket_;
  tcp::endpoint caller_;
  CallerLimits limits_;
  RequestHook on_request_;
  MemoryBudget& budget_;
  Hook on_held_;
  Hook on_closed_;
  Hook on_caller_left_;
  Hook on_all_sent_;
  std::optional<RequestReader> reader_;
  // Bytes received and not parsed yet.
  std::string in_;
  // Body of the request that is being read.
  std::string body_;
  // Bytes of answers that the socket has not taken yet.
  std::string out_;
  // The part of `out_` that the budget counts.
  std::size_t counted_unsent_ = 0;
  // The part of `in_` that the budget counts while an answer is written.
  std::size_t counted_pipelined_ = 0;
  DeliveryWatch delivery_watch_;
  CallerEnd caller_end_ = CallerEnd::kNone;
  Time last_activity_{};
  // Arrival of the first byte of the request that is being read.
  Time request_began_at_{};
  // A request is complete and its answer is not.
  bool is_answering_ = false;
  bool has_served_ = false;
  // How the answer that has begun is framed; at most one is true.
  bool is_chunked_ = false;
  bool is_unframed_ = false;
  bool is_http_1_0_ = false;
  // The current or next answer is the last one of the connection.
  bool is_last_answer_ = false;
  // The last answer is complete; nothing more is read.
  bool is_closing_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_head_request_ = false;
  bool has_sent_continue_ = false;
  // Whether TCP keep-alive probes are on, which detect a lost caller.
  bool has_keep_alive_probes_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_HTTP_CONNECTION_H_
