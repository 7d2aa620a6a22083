// Reads and writes of the quarantine table.
#include "relay/quarantine_store.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

// By then a router knows whether it is one of the watchers.
constexpr Duration kLoadDelay = milliseconds(1000);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kRetryDelay = milliseconds(1000);
// A row is written again if the newest crash is later than the stored one by
// this much, so that the delay of the next try goes on from there.
constexpr Duration kRewriteAge = seconds(30);
// Of a row; no evidence counts for so long.
constexpr milliseconds kLongestAge = std::chrono::hours(24);
// Name of the store calls in the log.
constexpr char kStoreCallName[] = "quarantine";

auto NewestCrash(const PartRecord& record, Time now) -> Time {
  return record.crashes.empty() ? Time{} : now - record.crashes.back().age;
}

}  // namespace

QuarantineStore::QuarantineStore(asio::io_context& io,
                                 const std::string& store_address,
                                 GatewayCore& core, StoreHealth& store_health,
                                 EventLog& log)
    : core_(core),
      store_health_(store_health),
      malformed_rows_(log, "quarantine_row_malformed"),
      store_client_(io, store_address),
      started_at_(MonotonicClock::now()) {}

auto QuarantineStore::Tick(Time now) -> void {
  if (now - started_at_ < kLoadDelay || now < next_call_at_) return;
  if (store_client_.is_busy() || core_.is_leaving()) return;
  if (!core_.is_watcher(now)) return;
  const auto era = core_.store_eras().current();
  if (std::exchange(era_, era) != era) {
    is_loaded_ = false;
    stored_.clear();
  }
  if (!is_loaded_) return Load({});
  StoreChange(now);
}

auto QuarantineStore::Load(const PageStart& after) -> void {
  store_client_.Call(ListRows(kQuarantineTable, after), kCallTimeout,
                     [this, after](const Outcome<HttpReply>& reply) {
                       HandleRows(reply, after);
                     });
}

auto QuarantineStore::HandleRows(const Outcome<HttpReply>& reply,
                                 const PageStart& after) -> void {
  const auto now = MonotonicClock::now();
  const auto rows = store_health_.DecodeRows(kStoreCallName, reply, after);
  if (!rows) {
    next_call_at_ = now + kRetryDelay;
    return;
  }
  if (rows->store_ms) {
    store_ms_ = *rows->store_ms;
    store_ms_read_at_ = now;
  }
  for (const auto& row : rows->rows) {
    if (!row.is_removed) ApplyRow(row, rows->store_ms.value_or(0));
  }
  if (rows->next_after) return Load(rows->next_after);
  is_loaded_ = era_ == core_.store_eras().current();
}

auto QuarantineStore::ApplyRow(const StoreRow& row, std::int64_t store_ms)
    -> void {
  const auto decoded = DecodeQuarantineRow(row.value);
  if (!IsOk(decoded)) {
    return malformed_rows_.Log(row.key, ErrorOf(decoded).message);
  }
  const auto message = DecodePeerMessage(ValueOf(decoded).evidence);
  const auto* evidence =
      message ? std::get_if<PartEvidence>(&*message) : nullptr;
  if (evidence == nullptr || evidence->records.size() != 1 ||
      EncodePartId(evidence->records[0].part) != row.key) {
    return malformed_rows_.Log(
        row.key, "evidence is not one record of the part that the key names");
  }
  const auto now = MonotonicClock::now();
  // The row has aged in the store.
  const Duration in_store = std::clamp<Duration>(
      milliseconds(std::min(store_ms - ValueOf(decoded).store_ms,
                            std::int64_t{kLongestAge.count()})),
      Duration{}, kLongestAge);
  auto record = evidence->records[0];
  for (auto& crash : record.crashes) crash.age += in_store;
  if (record.sound) record.sound->age += in_store;
  stored_[record.part] = NewestCrash(record, now);
  core_.HandleStoredEvidence(PartEvidence{{record}}, now);
}

auto QuarantineStore::StoreChange(Time now) -> void {
  const auto records = core_.crash_guard().quarantine().Quarantined(now);
  for (const auto& record : records) {
    const auto stored = stored_.find(record.part);
    if (stored == stored_.end() ||
        NewestCrash(record, now) - stored->second > kRewriteAge) {
      return Write(record, now);
    }
  }
  for (const auto& [part, crashed_at] : stored_) {
    const auto is_quarantined = std::any_of(
        records.begin(), records.end(),
        [part = part](const auto& record) { return record.part == part; });
    if (!is_quarantined) return Remove(part);
  }
}

auto QuarantineStore::StoreMilliseconds(Time now) const -> std::int64_t {
  return store_ms_ + std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - store_ms_read_at_)
                         .count();
}

auto QuarantineStore::HandleConfirmation(const Outcome<HttpReply>& reply,
                                         Time now) -> bool {
  if (store_health_.IsConfirmed(kStoreCallName, reply)) return true;
  next_call_at_ = now + kRetryDelay;
  return false;
}

auto QuarantineStore::Write(const PartRecord& record, Time now) -> void {
  const QuarantineRow row{EncodePeerMessage(PartEvidence{{record}}),
                          StoreMilliseconds(now)};
  const StoreWrite write{kQuarantineTable, EncodePartId(record.part),
                         EncodeQuarantineRow(row)};
  store_client_.Call(
      WriteRow(write), kCallTimeout,
      [this, part = record.part,
       crashed_at = NewestCrash(record, now)](const Outcome<HttpReply>& reply) {
        if (HandleConfirmation(reply, MonotonicClock::now())) {
          stored_[part] = crashed_at;
        }
      });
}

auto QuarantineStore::Remove(PartId part) -> void {
  store_client_.Call(RemoveRow(kQuarantineTable, EncodePartId(part)),
                     kCallTimeout, [this, part](const auto& reply) {
                       if (HandleConfirmation(reply, MonotonicClock::now())) {
                         stored_.erase(part);
                       }
                     });
}

}  // namespace papayaplank
