// Reads the operators' configuration from the store or from a peer into the
// core.
#ifndef RELAY_CONFIGURATION_READER_H_
#define RELAY_CONFIGURATION_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"
#include "relay/store_health.h"

namespace papayaplank {

// Path under which peers fetch a router's snapshot.
inline constexpr char kSnapshotPath[] = "/snapshot";

// A few routers are watchers: they wait for changes at the store by long
// polling. Any other router reads the configuration when a peer has a newer
// version, or when no peer has confirmed its own version for some time. A
// router that can't reach the store reads from a peer.
class ConfigurationReader {
 public:
  using TargetChangeHook = std::function<void(const DirectoryChange&)>;

  // `name` is this router's; it seeds the jitter, so that the retries of the
  // routers differ.
  ConfigurationReader(asio::io_context& io, const std::string& store_address,
                      const std::string& name, GatewayCore& core,
                      StoreHealth& store_health, EventLog& log);

  auto Start() -> void { ReadNewest(); }
  // Called with the target changes that came with a snapshot.
  auto SetTargetChangeHook(TargetChangeHook hook) -> void {
    on_target_change_ = std::move(hook);
  }
  // Called to ask a few peers how recent their configuration is.
  auto SetQueryHook(std::function<void()> hook) -> void {
    on_query_ = std::move(hook);
  }
  // Calls to the store since the start; calls to peers aren't counted.
  auto calls() const -> std::uint64_t { return store_client_.calls(); }

 private:
  auto ReadNewest() -> void;
  // Lists the operator's rows, from the page after `after`.
  auto ReadStore(const PageStart& after = {}) -> void;
  auto WatchStore() -> void;
  auto HandleListReply(const Outcome<HttpReply>& reply, const PageStart& after)
      -> void;
  auto HandleWatchReply(const Outcome<HttpReply>& reply, Time sent_at) -> void;
  // The store doesn't have the changes since the version that was read last;
  // `answer` is how the watch showed it, for the log.
  auto HandleLostHistory(std::string_view answer) -> void;
  // Rows up to the version were read by a call that was sent at `sent_at`.
  auto ConfirmRows(std::uint64_t version, Time sent_at) -> void;
  // Whether the configuration that the store has shown was the newest one at
  // `sent_at`: its copy may lack what this router or another one has.
  auto IsNewest(Time sent_at) const -> bool;
  // Whether the operator's rows are to be listed because the store came back
  // from an older copy.
  auto IsEraListDue(Time now) -> bool;
  auto ReadPeer(const std::string& address) -> void;
  auto HandlePeerReply(const std::string& address,
                       const Outcome<HttpReply>& reply) -> void;
  auto ApplyRows(const StoreRows& rows) -> void;
  // `source` is where the document came from, for the log. Returns its version,
  // if it can be read.
  auto ApplyDocument(std::string_view text, std::string_view source)
      -> std::optional<std::uint64_t>;
  auto ScheduleNext() -> void;
  // Watches as soon as the spacing of such calls allows it.
  auto ScheduleWatch(Time now) -> void;
  // Watches, or lists the rows if a peer has a newer configuration.
  auto WatchOrList() -> void;
  auto ScheduleCheck(Duration delay) -> void;
  auto ScheduleRetry() -> void;
  auto Check() -> void;

  asio::io_context& io_;
  GatewayCore& core_;
  StoreHealth& store_health_;
  EventLog& log_;
  TargetChangeHook on_target_change_;
  std::function<void()> on_query_;
  HttpClient store_client_;
  // Client of the latest snapshot call; kept until the next such call.
  std::unique_ptr<HttpClient> snapshot_client_;
  asio::steady_timer timer_;
  Random random_;
  // Version of the store that the latest read covers, and the era in which it
  // means anything; 0 before the first read.
  std::uint64_t store_version_ = 0;
  StoreEra store_era_;
  // Era of the store whose rows were listed after it had settled, and when they
  // are to be listed for the current one.
  StoreEra settled_era_;
  std::optional<Time> era_list_due_at_;
  // Version of the newest configuration that the store has shown; 0 if it has
  // none, nothing if it could not be read.
  std::optional<std::uint64_t> shown_version_;
  // The newest version that was known in the fleet as the latest call was sent.
  std::uint64_t known_version_ = 0;
  // When the latest watch, or the list in its place, began.
  Time watched_at_{};
  // A watch found its history dropped, and none has succeeded since.
  bool is_history_lost_ = false;
  // When the first page of the list that is being read was asked for, and the
  // evacuated data centres in its pages so far.
  Time list_sent_at_{};
  std::uint64_t list_version_ = 0;
  StoreEra list_era_;
  bool has_listed_configuration_ = false;
  std::vector<EvacuationRecord> listed_evacuations_;
  Duration backoff_{};
  Time store_failed_at_{};
};

}  // namespace papayaplank

#endif  // RELAY_CONFIGURATION_READER_H_
