// Keeps the targets and the routers of the core up to date from the store's
// rows, and writes this router's own row.
#ifndef RELAY_LISTING_READER_H_
#define RELAY_LISTING_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"
#include "relay/store_contact.h"
#include "relay/target_pool.h"

namespace papayaplank {

// This router's row in the store.
struct OwnRow {
  std::string key;
  RouterRow row;
};

// Makes one call after the other; the core says how often.
class ListingReader {
 public:
  ListingReader(asio::io_context& io, const std::string& store_address,
                OwnRow own_row, GatewayCore& core, StoreContact& contact,
                TargetPool& pool, EventLog& log);

  auto Start() -> void { ReadTargets(""); }
  // Drops connections and logs, after a change of targets.
  auto TakeChange(const DirectoryChange& change) -> void;
  // Removes the own row, so that others no longer report to this router.
  auto Leave() -> void;
  auto calls() const -> std::uint64_t { return store_.calls(); }

 private:
  auto MakeNextCall() -> void;
  auto ReadTargets(const std::string& after) -> void;
  auto OnTargets(const Outcome<HttpReply>& reply) -> void;
  auto TakeTargetRow(const StoreRow& row) -> void;
  auto ReadRouters() -> void;
  auto OnRouters(const Outcome<HttpReply>& reply) -> void;
  auto WriteOwnRow() -> void;
  auto RemoveOwnRow() -> void;
  auto Schedule(Duration delay) -> void;
  auto ScheduleRetry() -> void;

  GatewayCore& core_;
  StoreContact& contact_;
  TargetPool& pool_;
  EventLog& log_;
  OwnRow own_row_;
  HttpClient store_;
  asio::steady_timer timer_;
  Random random_;
  // The newest pause after a failure; zero after a good listing.
  Duration retry_{};
  // Pages of a listing that is under way.
  std::vector<TargetRow> pages_;
  // Keys that were logged.
  std::set<std::string> malformed_rows_;
  Time listing_started_at_{};
  Time routers_read_at_{};
  bool is_own_row_written_ = false;
  bool is_leaving_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_LISTING_READER_H_
