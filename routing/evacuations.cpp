// Merges records by the version of the store.
#include "routing/evacuations.h"

#include <algorithm>

namespace papayaplank {

auto Evacuations::Merge(const EvacuationRecord& record) -> bool {
  const auto found = records_.find(record.data_center);
  if (found != records_.end()) {
    if (record.version <= found->second.version) return false;
    const auto is_change = found->second.is_evacuated != record.is_evacuated;
    found->second = record;
    return is_change;
  }
  // A list that is newer did not name it.
  if (record.version <= list_version_) return false;
  if (records_.size() >= kMaxRecords) {
    const auto spare = std::find_if(
        records_.begin(), records_.end(),
        [](const auto& entry) { return !entry.second.is_evacuated; });
    if (spare == records_.end()) return false;
    records_.erase(spare);
  }
  records_.emplace(record.data_center, record);
  return record.is_evacuated;
}

auto Evacuations::ApplyList(const std::vector<EvacuationRecord>& evacuated,
                            std::uint64_t version)
    -> std::vector<EvacuationRecord> {
  std::vector<EvacuationRecord> changes;
  std::set<DataCenterId> listed;
  for (const auto& record : evacuated) {
    listed.insert(record.data_center);
    if (Merge(record)) changes.push_back(record);
  }
  list_version_ = std::max(list_version_, version);
  for (const auto& known : Records()) {
    if (listed.count(known.data_center) != 0) continue;
    const EvacuationRecord returned{known.data_center, version, false};
    if (Merge(returned)) changes.push_back(returned);
  }
  return changes;
}

auto Evacuations::BeginEra() -> void {
  for (auto& [data_center, record] : records_) record.version = 0;
  list_version_ = 0;
}

auto Evacuations::IsEvacuated(const DataCenterId& data_center) const -> bool {
  const auto found = records_.find(data_center);
  return found != records_.end() && found->second.is_evacuated;
}

auto Evacuations::Evacuated() const -> std::set<DataCenterId> {
  std::set<DataCenterId> evacuated;
  for (const auto& [data_center, record] : records_) {
    if (record.is_evacuated) evacuated.insert(data_center);
  }
  return evacuated;
}

auto Evacuations::Records() const -> std::vector<EvacuationRecord> {
  std::vector<EvacuationRecord> records;
  for (const auto& [data_center, record] : records_) records.push_back(record);
  return records;
}

}  // namespace papayaplank
