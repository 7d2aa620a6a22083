// One connection of a caller: reads requests one after another, writes their
// answers, and sees at once when the caller leaves.
#ifndef RELAY_HTTP_CONNECTION_H_
#define RELAY_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/asio.h"
#include "relay/message_reader.h"
#include "routing/routing.h"

namespace papayaplank {

// A complete request.
struct HttpServerRequest {
  std::string method;
  std::string target;
  HttpFields fields;
  std::string body;
};

// Answers are written through these calls, one answer for each request.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using RequestHook =
      std::function<void(std::shared_ptr<HttpConnection>, HttpServerRequest)>;
  using Hook = std::function<void()>;

  HttpConnection(tcp::socket socket, const tcp::endpoint& caller,
                 CallerLimits limits, RequestHook on_request);

  // `on_closed` is called once, when the connection has ended.
  auto Start(Hook on_closed) -> void;
  auto Close() -> void;

  // The caller closed the connection, or was lost, before its answer was
  // complete.
  auto SetCallerLeftHook(Hook hook) -> void;
  // Reads on; whether the caller has closed the connection. A router that is
  // late may read a request whose caller has given up.
  auto HasCallerLeft() -> bool;
  // The caller has taken what was written.
  auto SetDrainedHook(Hook hook) -> void { on_drained_ = std::move(hook); }

  // A complete answer. `headers` are lines that end with CR LF.
  auto Answer(int status, std::string_view headers, std::string_view body)
      -> void;
  // An answer of unknown length: begin, append, finish.
  auto BeginAnswer(int status, std::string_view headers) -> void;
  auto Append(std::string_view bytes) -> void;
  auto FinishAnswer() -> void;
  // Ends the connection so that the answer does not look complete.
  auto AbortAnswer() -> void { Close(); }

  // The connection ends with its current or next answer.
  auto CloseAfterAnswer() -> void { is_last_answer_ = true; }

  // Closes the connection if it was idle, or its request unfinished, for
  // longer than the limits allow.
  auto CheckTimeouts(Time now) -> void;

  auto is_open() const -> bool { return socket_.is_open(); }
  auto caller_address() const -> std::string {
    return caller_.address().to_string();
  }
  auto is_answering() const -> bool { return is_answering_; }
  auto pending_bytes() const -> std::size_t { return out_.size(); }

 private:
  auto WaitReadable() -> void;
  auto OnReadable() -> void;
  auto HandleInput() -> void;
  auto Reject(int status) -> void;
  auto Dispatch() -> void;
  auto EndAnswer() -> void;
  auto CloseInOrder() -> void;
  auto Write(std::string_view bytes) -> void;
  auto WaitWritable() -> void;
  auto OnWritable() -> void;
  auto AnswerHead(int status, std::string_view headers) const -> std::string;

  tcp::socket socket_;
  tcp::endpoint caller_;
  CallerLimits limits_;
  RequestHook on_request_;
  Hook on_closed_;
  Hook on_caller_left_;
  Hook on_drained_;
  std::optional<RequestReader> reader_;
  // Bytes that were received and not parsed.
  std::string in_;
  std::string body_;
  // Bytes that the socket has not taken.
  std::string out_;
  Time last_activity_{};
  // A request is complete and its answer is not.
  bool is_answering_ = false;
  bool is_chunked_ = false;
  // The current or next answer is the last one of the connection.
  bool is_last_answer_ = false;
  // The last answer is complete; nothing more is read.
  bool is_closing_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_head_request_ = false;
  bool has_continued_ = false;
  // Probes show whether the caller is still there.
  bool has_probes_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_HTTP_CONNECTION_H_
