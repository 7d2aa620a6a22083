// HTTP client for the router's own calls to the platform's store or to a peer.
// It keeps one connection open and makes one call at a time.
#ifndef RELAY_HTTP_CLIENT_H_
#define RELAY_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "platform/platform.h"
#include "relay/target_connection.h"

namespace papayaplank {

// The complete answer to a call.
struct HttpReply {
  int status = 0;
  HttpFields fields;
  std::string body;
  // When the call was made.
  Time sent_at{};
};

// Makes calls; `on_reply` of each call is called exactly once, unless the
// client is destroyed first.
class HttpClient {
 public:
  using ReplyHook = std::function<void(Outcome<HttpReply>)>;

  // `address` is IP:port; every call to any other text fails with an error.
  HttpClient(asio::io_context& io, std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  // `timeout` covers the time until the answer is complete. Must not be called
  // while a call is in flight.
  auto Call(const HttpCall& call, Duration timeout, ReplyHook on_reply) -> void;
  auto is_busy() const -> bool { return static_cast<bool>(on_reply_); }
  // Calls made since the start.
  auto calls() const -> std::uint64_t { return calls_; }

 private:
  // Ends the call if the answer is too long.
  auto AppendBody(std::string_view bytes) -> void;
  auto Finish(Outcome<HttpReply> reply) -> void;

  asio::io_context& io_;
  std::string address_;
  asio::steady_timer timer_;
  std::shared_ptr<TargetConnection> connection_;
  ReplyHook on_reply_;
  HttpReply reply_;
  std::uint64_t calls_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_HTTP_CLIENT_H_
