// Service discovery through the platform's store: reads the rows of targets and
// routers into the core, and registers this router by a row of its own.
#ifndef RELAY_SERVICE_REGISTRY_READER_H_
#define RELAY_SERVICE_REGISTRY_READER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"
#include "relay/malformed_rows.h"
#include "relay/store_health.h"
#include "relay/target_connection_pool.h"

namespace papayaplank {

// This router's row in the store.
struct OwnRow {
  std::string key;
  RouterRow row;
};

// Has one call to the store in flight at a time. The core decides when the
// target list is to be read; failed calls are repeated with backoff.
class ServiceRegistryReader {
 public:
  ServiceRegistryReader(asio::io_context& io, const std::string& store_address,
                        OwnRow own_row, GatewayCore& core,
                        StoreHealth& store_health,
                        TargetConnectionPool& connections, EventLog& log);

  auto Start() -> void { ReadTargets({}); }
  // Reads the target list when the demand says, unless a call that does it is
  // on its way. News that were missed may be newer than that call, and the list
  // is read again after it.
  auto ReadWhenDue(const ListReadDemand& demand) -> void;
  // Closes connections to targets that left or restarted, and logs the change
  // and who told of it.
  auto ApplyTargetChange(const DirectoryChange& change, std::string_view source)
      -> void;
  // Removes this router's row, so that other routers no longer report to it.
  auto Deregister() -> void;
  // Calls to the store since the start.
  auto calls() const -> std::uint64_t { return store_client_.calls(); }

 private:
  auto MakeNextCall() -> void;
  // The store came back from an older copy, or has all rows again after that.
  auto BeginEraChecks() -> void;
  auto ReadTargets(const PageStart& after) -> void;
  auto HandleTargetRows(const Outcome<HttpReply>& reply, const PageStart& after)
      -> void;
  auto AddTargetRow(const StoreRow& row) -> void;
  // Tells of a complete list, before it is applied.
  auto LogTargetList(Time now) -> void;
  auto LogTargetChange(std::string_view event, const TargetId& target,
                       std::string_view source) -> void;
  auto ReadRouters(const PageStart& after) -> void;
  auto HandleRouterRows(const Outcome<HttpReply>& reply, const PageStart& after)
      -> void;
  auto AddRouterRow(const StoreRow& row) -> void;
  auto WriteOwnRow() -> void;
  // Writes this router's row again if the store has lost it.
  auto CheckOwnRow() -> void;
  auto HandleOwnRow(const Outcome<HttpReply>& reply) -> void;
  auto RemoveOwnRow() -> void;
  // Removes the row of a router that has left, which came back with a copy.
  auto RemoveLeftRow() -> void;
  // Makes the next call after the delay, and cancels a call that waits.
  auto Schedule(Duration delay) -> void;
  auto ScheduleRetry() -> void;
  // Makes the next call at once if one is needed before the next demand.
  auto ScheduleNext() -> void;
  auto IsRouterListDue(Time now) const -> bool;

  GatewayCore& core_;
  StoreHealth& store_health_;
  TargetConnectionPool& connections_;
  EventLog& log_;
  OwnRow own_row_;
  HttpClient store_client_;
  asio::steady_timer timer_;
  Random random_;
  // Latest retry delay; zero after a target list was read.
  Duration retry_delay_{};
  // The timer runs.
  bool is_call_waiting_ = false;
  // A page of the target list is being read.
  bool is_reading_targets_ = false;
  // Why the target list is read next, for the log.
  std::string_view read_reason_ = "start";
  // Targets on the pages read so far of the current target list.
  std::vector<TargetRow> listed_targets_;
  // Routers on the pages read so far of the current router list.
  std::vector<PeerSeed> listed_routers_;
  MalformedRows malformed_targets_;
  MalformedRows malformed_routers_;
  Time list_started_at_{};
  // When the newest complete target list arrived.
  Time list_read_at_{};
  Time routers_read_at_{};
  // Set when another call failed, so that its tries take turns with the list.
  bool is_target_list_next_ = false;
  // Set when the list is to be read once more after the call in flight.
  bool must_read_again_ = false;
  bool is_own_row_written_ = false;
  // Set when the store came back from an older copy, which may lack the row, or
  // still have it after its removal.
  bool must_check_own_row_ = false;
  // Set when the router list is to be read for rows of routers that have left,
  // and the key and version of those that were found.
  bool must_find_left_rows_ = false;
  std::vector<std::pair<std::string, std::uint64_t>> left_rows_;
  // Era of the store in which the current list was begun.
  StoreEra list_era_;
  bool is_deregistering_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_SERVICE_REGISTRY_READER_H_
