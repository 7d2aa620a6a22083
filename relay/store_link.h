// One kept connection to the platform's store, one call at a time.
#ifndef RELAY_STORE_LINK_H_
#define RELAY_STORE_LINK_H_

#include <functional>
#include <memory>
#include <string>

#include "platform/platform.h"
#include "relay/target_connection.h"

namespace papayaplank {

// Answer of the store.
struct StoreReply {
  int status = 0;
  std::string body;
};

// Makes calls; the hook of a call is called once.
class StoreLink {
 public:
  using ReplyHook = std::function<void(Outcome<StoreReply>)>;

  StoreLink(asio::io_context& io, std::string address);

  // `timeout` counts from now to the complete answer. Must not be called
  // while a call is under way.
  auto Call(const StoreCall& call, Duration timeout, ReplyHook on_reply)
      -> void;
  auto is_busy() const -> bool { return static_cast<bool>(on_reply_); }
  auto calls() const -> std::uint64_t { return calls_; }

 private:
  auto Finish(Outcome<StoreReply> reply) -> void;

  asio::io_context& io_;
  std::string address_;
  asio::steady_timer timer_;
  std::shared_ptr<TargetConnection> connection_;
  ReplyHook on_reply_;
  StoreReply reply_;
  std::uint64_t calls_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_STORE_LINK_H_
