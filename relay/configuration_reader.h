// Keeps the configuration of the core up to date.
#ifndef RELAY_CONFIGURATION_READER_H_
#define RELAY_CONFIGURATION_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"
#include "relay/store_contact.h"

namespace papayaplank {

// Path under which a router gives its snapshot to peers.
inline constexpr char kSnapshotPath[] = "/snapshot";

// Watchers wait at the store for changes. The others read a version when a
// peer has a newer one, or when no peer confirms that theirs is the newest. A
// router that the store fails takes the version of a peer.
class ConfigurationReader {
 public:
  using ChangeHook = std::function<void(const DirectoryChange&)>;

  // `name` is the router's own; it sets apart the retries of the routers.
  ConfigurationReader(asio::io_context& io, const std::string& store_address,
                      const std::string& name, GatewayCore& core,
                      StoreContact& contact, EventLog& log);

  auto Start() -> void { ReadNewest(); }
  // Hears of changes of targets that came with a snapshot.
  auto SetChangeHook(ChangeHook hook) -> void { on_change_ = std::move(hook); }
  // Sends a few peers the question how fresh their configuration is.
  auto SetQueryHook(std::function<void()> hook) -> void {
    on_query_ = std::move(hook);
  }
  auto calls() const -> std::uint64_t { return store_.calls(); }

 private:
  auto ReadNewest() -> void;
  auto ReadStore() -> void;
  auto FollowStore() -> void;
  auto OnStoreReply(const Outcome<HttpReply>& reply, Time sent_at) -> void;
  auto ReadPeer(const std::string& address) -> void;
  auto OnPeerReply(const std::string& address, const Outcome<HttpReply>& reply)
      -> void;
  auto TakeRows(const StoreRows& rows) -> void;
  // `source` tells the log where the document came from.
  auto TakeDocument(std::string_view text, std::string_view source) -> void;
  auto ScheduleNext() -> void;
  auto ScheduleCheck(Duration delay) -> void;
  auto ScheduleRetry() -> void;
  auto Check() -> void;

  asio::io_context& io_;
  GatewayCore& core_;
  StoreContact& contact_;
  EventLog& log_;
  ChangeHook on_change_;
  std::function<void()> on_query_;
  HttpClient store_;
  // The newest call of a peer; kept until the next one.
  std::unique_ptr<HttpClient> peer_;
  asio::steady_timer timer_;
  Random random_;
  // Version of the store up to which the document is known; 0 if unknown.
  std::uint64_t store_version_ = 0;
  Duration backoff_{};
  Time store_failed_at_{};
};

}  // namespace papayaplank

#endif  // RELAY_CONFIGURATION_READER_H_
