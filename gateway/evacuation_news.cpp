// Spreads changes at once, and all records periodically.
#include "gateway/evacuation_news.h"

namespace papayaplank {
namespace {

// Datagrams get lost, and there are several of them in this time.
constexpr Duration kFreshTime = milliseconds(1500);
// How often all records are sent for routers that missed them or are new.
constexpr Duration kRefreshPeriod = seconds(1);

}  // namespace

auto EvacuationNews::NoteChange(const EvacuationRecord& record,
                                bool is_from_peer, Time now) -> void {
  fresh_until_[record.data_center] = now + kFreshTime;
  changes_.push_back({record, is_from_peer});
}

auto EvacuationNews::RecordRead(const EvacuationRecord& record, Time now)
    -> bool {
  const auto is_change = evacuations_.Merge(record);
  if (is_change) NoteChange(record, false, now);
  read_here_.insert(record.data_center);
  return is_change;
}

auto EvacuationNews::RecordList(const std::vector<EvacuationRecord>& evacuated,
                                std::uint64_t version, Time now)
    -> std::vector<EvacuationRecord> {
  auto changes = evacuations_.ApplyList(evacuated, version);
  for (const auto& record : changes) NoteChange(record, false, now);
  for (const auto& record : Known()) {
    read_here_.insert(record.data_center);
  }
  return changes;
}

auto EvacuationNews::RecordHeard(const EvacuationRecord& record, Time now)
    -> bool {
  const auto is_change = evacuations_.Merge(record);
  if (is_change) {
    read_here_.erase(record.data_center);
    NoteChange(record, true, now);
  }
  return is_change;
}

auto EvacuationNews::BeginEra() -> void {
  evacuations_.BeginEra();
  read_here_.clear();
  fresh_until_.clear();
}

auto EvacuationNews::Known() const -> std::vector<EvacuationRecord> {
  auto records = evacuations_.Records();
  std::erase_if(records,
                [](const auto& record) { return record.version == 0; });
  return records;
}

auto EvacuationNews::ToSend(bool passes_on, Time now)
    -> std::vector<EvacuationRecord> {
  const auto is_refresh_due = now - refreshed_at_ >= kRefreshPeriod;
  if (is_refresh_due) refreshed_at_ = now;
  std::vector<EvacuationRecord> records;
  for (const auto& record : Known()) {
    const auto fresh = fresh_until_.find(record.data_center);
    const auto is_fresh = fresh != fresh_until_.end() && now < fresh->second;
    const auto is_told = passes_on || read_here_.count(record.data_center) != 0;
    if (is_told && (is_fresh || is_refresh_due)) records.push_back(record);
  }
  return records;
}

}  // namespace papayaplank
