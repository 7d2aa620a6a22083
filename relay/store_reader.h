// Keeps the core informed from the platform's store: configuration, targets,
// and the rows by which routers find each other.
#ifndef RELAY_STORE_READER_H_
#define RELAY_STORE_READER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/store_link.h"
#include "relay/target_pool.h"

namespace papayaplank {

// This router's row in the store.
struct OwnRow {
  std::string key;
  RouterRow row;
};

// Reads on two connections: one for the configuration, the other for the
// listings and the own row. Watchers wait at the store for changes of the
// configuration; the others read it when a peer has a newer one, or when no
// peer confirms that theirs is the newest.
class StoreReader {
 public:
  StoreReader(asio::io_context& io, const std::string& address, OwnRow own_row,
              GatewayCore& core, TargetPool& pool, EventLog& log);

  auto Start() -> void;
  // Sends a few peers the question how fresh their configuration is.
  auto SetQueryHook(std::function<void()> hook) -> void {
    on_query_ = std::move(hook);
  }
  // Drops connections and logs, after a change of targets.
  auto TakeChange(const DirectoryChange& change) -> void;
  // Removes the own row, so that others no longer report to this router.
  auto Leave() -> void;
  auto calls() const -> std::uint64_t {
    return feed_.calls() + listing_.calls();
  }

 private:
  // The configuration.
  auto ReadConfiguration() -> void;
  auto FollowConfiguration() -> void;
  auto OnConfigurationReply(const Outcome<StoreReply>& reply, Time sent_at)
      -> void;
  auto TakeConfiguration(const StoreRows& rows) -> void;
  auto RetryConfiguration() -> void;
  auto ScheduleConfiguration() -> void;
  auto CheckConfiguration() -> void;

  // Targets and routers.
  auto NextListing() -> void;
  auto ReadTargets(const std::string& after) -> void;
  auto OnTargets(const Outcome<StoreReply>& reply) -> void;
  auto ReadRouters() -> void;
  auto OnRouters(const Outcome<StoreReply>& reply) -> void;
  auto WriteOwnRow() -> void;
  auto RemoveOwnRow() -> void;
  auto ScheduleListing(Duration delay) -> void;

  auto NoteReachable(bool is_reachable, std::string_view call,
                     std::string_view cause) -> void;

  GatewayCore& core_;
  TargetPool& pool_;
  EventLog& log_;
  OwnRow own_row_;
  StoreLink feed_;
  StoreLink listing_;
  asio::steady_timer feed_timer_;
  asio::steady_timer listing_timer_;
  Random random_;
  // Version up to which the configuration's table is known; 0 if unknown.
  std::uint64_t feed_version_ = 0;
  // Pages of a listing that is under way.
  std::vector<TargetRow> pages_;
  std::set<std::string> malformed_rows_;
  Time listing_started_at_{};
  Time routers_read_at_{};
  Duration feed_backoff_{};
  std::function<void()> on_query_;
  bool is_own_row_written_ = false;
  bool is_leaving_ = false;
  bool is_reachable_ = true;
};

}  // namespace papayaplank

#endif  // RELAY_STORE_READER_H_
