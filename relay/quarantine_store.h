// Keeps quarantined prompt parts in the platform's store, so that the verdicts
// outlive all routers.
#ifndef RELAY_QUARANTINE_STORE_H_
#define RELAY_QUARANTINE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "gateway/gateway.h"
#include "relay/event_log.h"
#include "relay/http_client.h"
#include "relay/malformed_rows.h"
#include "relay/store_health.h"

namespace papayaplank {

// The routers that watch the configuration read the table once, and write and
// remove rows; they pass on what they read like evidence of their own. The
// others make no call.
class QuarantineStore {
 public:
  QuarantineStore(asio::io_context& io, const std::string& store_address,
                  GatewayCore& core, StoreHealth& store_health, EventLog& log);

  // Makes the next call that is due; called periodically.
  auto Tick(Time now) -> void;
  // Calls to the store since the start.
  auto calls() const -> std::uint64_t { return store_client_.calls(); }

 private:
  auto Load(const PageStart& after) -> void;
  auto HandleRows(const Outcome<HttpReply>& reply, const PageStart& after)
      -> void;
  auto ApplyRow(const StoreRow& row, std::int64_t store_ms) -> void;
  // Writes or removes one row if the core's verdicts differ from the table.
  auto StoreChange(Time now) -> void;
  auto Write(const PartRecord& record, Time now) -> void;
  auto Remove(PartId part) -> void;
  auto HandleConfirmation(const Outcome<HttpReply>& reply, Time now) -> bool;
  // The store's clock, estimated from its newest answer.
  auto StoreMilliseconds(Time now) const -> std::int64_t;

  GatewayCore& core_;
  StoreHealth& store_health_;
  MalformedRows malformed_rows_;
  HttpClient store_client_;
  Time started_at_{};
  Time next_call_at_{};
  bool is_loaded_ = false;
  // Era of the store of which `stored_` tells.
  StoreEra era_;
  // Rows that the table has, with the time of the newest crash in each.
  std::map<PartId, Time> stored_;
  std::int64_t store_ms_ = 0;
  Time store_ms_read_at_{};
};

}  // namespace papayaplank

#endif  // RELAY_QUARANTINE_STORE_H_
