// Applies target lists and updates to the directory.
#include "routing/target_directory.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

// Draining targets that are remembered; beyond it, all are dropped.
constexpr std::size_t kMaxRememberedDrains = 4096;
// Beyond it, departed targets that are in no list are forgotten.
constexpr std::size_t kMaxRememberedDepartures = 4096;

// Removed targets that are remembered; beyond it, all are dropped.
constexpr std::size_t kMaxRememberedRemovals = 4096;

// Whether the target restarted between the two rows.
auto HasRestarted(const TargetRow& before, const TargetRow& now) -> bool {
  if (before.started_unix_ms != now.started_unix_ms ||
      before.address != now.address) {
    return true;
  }
  // A report that the store performs late has a lower count, too.
  const auto states_start = now.started_unix_ms != 0;
  return !states_start && now.reports < before.reports;
}

}  // namespace

auto TargetDirectory::IsChanged(const TargetRow& row) const -> bool {
  const auto found = targets_.find(row.id);
  if (found == targets_.end()) return true;
  const auto& known = found->second;
  const auto is_cold_before = known.cold_left > Duration{};
  const auto is_cold = row.cold_left > Duration{};
  return known.is_draining != row.is_draining || known.pool != row.pool ||
         is_cold != is_cold_before || HasRestarted(known, row);
}

auto TargetDirectory::Upsert(TargetRow row, DirectoryChange& change) -> void {
  const auto incarnation = std::make_pair(row.id, row.started_unix_ms);
  if (row.is_draining) {
    if (drained_.size() >= kMaxRememberedDrains) drained_.clear();
    drained_.insert(incarnation);
  } else if (drained_.count(incarnation) != 0) {
    row.is_draining = true;
  }
  const auto found = targets_.find(row.id);
  if (found == targets_.end()) {
    change.joined.push_back(row.id);
    if (row.is_draining) change.left.push_back(row.id);
    targets_.emplace(row.id, std::move(row));
    return;
  }
  if (HasRestarted(found->second, row)) {
    change.restarted.push_back(row.id);
    // Without a start of its own, the new process has the same one.
    if (found->second.started_unix_ms == row.started_unix_ms) {
      departed_.erase(row.id);
    }
  }
  if (row.is_draining && !found->second.is_draining) {
    change.left.push_back(row.id);
  }
  found->second = std::move(row);
}

auto TargetDirectory::Remove(const TargetId& id, DirectoryChange& change)
    -> void {
  missing_.erase(id);
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  if (removed_.size() >= kMaxRememberedRemovals) removed_.clear();
  removed_[id] = found->second.started_unix_ms;
  targets_.erase(found);
  change.left.push_back(id);
}

auto TargetDirectory::BeginEra() -> void {
  list_version_ = 0;
  newer_updates_.clear();
  for (auto& [id, version] : missing_) version = 0;
}

auto TargetDirectory::IsPlausible(const TargetRow& row) const -> bool {
  const auto known = targets_.find(row.id);
  if (known != targets_.end()) {
    const auto start = known->second.started_unix_ms;
    if (row.started_unix_ms > start) return true;
    // A process that drains never returns to service.
    return row.is_draining && start != 0 && row.started_unix_ms == start;
  }
  const auto removed = removed_.find(row.id);
  return removed == removed_.end() || row.started_unix_ms > removed->second;
}

auto TargetDirectory::Apply(const TargetList& list) -> DirectoryChange {
  DirectoryChange change;
  if (list.version < list_version_) return change;
  const auto last_named = std::exchange(list_version_, list.version);
  std::map<TargetId, std::uint64_t> named_by_updates;
  std::erase_if(newer_updates_, [&](const auto& entry) {
    if (entry.second.version > list.version) return false;
    named_by_updates.emplace(entry.first, entry.second.version);
    return true;
  });
  std::set<TargetId> present;
  for (const auto& row : list.rows) {
    present.insert(row.id);
    if (newer_updates_.count(row.id) != 0) continue;
    missing_.erase(row.id);
    const auto is_doubtful =
        list.doubtful_version && row.version <= *list.doubtful_version;
    if (is_doubtful && !IsPlausible(row)) continue;
    // Of other doubtful rows, the routers judge by what they know themselves.
    if ((!is_doubtful || row.is_draining) && IsChanged(row)) {
      change.updates.push_back(TargetUpdate{list.version, false, row});
    }
    Upsert(row, change);
  }
  std::vector<TargetId> missing;
  for (const auto& [id, target] : targets_) {
    if (present.count(id) == 0 && newer_updates_.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    if (list.is_store_recovering) {
      const auto update = named_by_updates.find(id);
      missing_.try_emplace(
          id, update == named_by_updates.end() ? last_named : update->second);
      continue;
    }
    TargetUpdate update{list.version, true, {}};
    update.row.id = id;
    change.updates.push_back(std::move(update));
    Remove(id, change);
  }
  RebuildPools();
  return change;
}

auto TargetDirectory::Apply(const TargetUpdate& update) -> DirectoryChange {
  DirectoryChange change;
  const auto& id = update.row.id;
  if (ConfirmsMissing(update)) {
    Remove(id, change);
    RebuildPools();
    return change;
  }
  if (update.version <= list_version_) return change;
  const auto known = newer_updates_.find(id);
  if (known != newer_updates_.end() &&
      known->second.version >= update.version) {
    return change;
  }
  newer_updates_[id] = update;
  missing_.erase(id);
  if (update.is_gone) {
    Remove(id, change);
  } else {
    Upsert(update.row, change);
  }
  RebuildPools();
  return change;
}

auto TargetDirectory::ConfirmsMissing(const TargetUpdate& update) const
    -> bool {
  if (!update.is_gone || update.version > list_version_) return false;
  const auto missing = missing_.find(update.row.id);
  return missing != missing_.end() && update.version > missing->second;
}

auto TargetDirectory::ConfirmsDeparture(const TargetUpdate& update) const
    -> bool {
  if (!update.is_gone && !update.row.is_draining) return false;
  const auto* known = Find(update.row.id);
  return known == nullptr || known->is_draining;
}

auto TargetDirectory::RecordDeparture(const TargetId& id,
                                      std::int64_t started_unix_ms) -> void {
  if (departed_.size() >= kMaxRememberedDepartures) {
    std::erase_if(departed_, [this](const auto& entry) {
      return targets_.count(entry.first) == 0;
    });
  }
  const auto [entry, is_new] = departed_.try_emplace(id, started_unix_ms);
  if (!is_new && started_unix_ms <= entry->second) return;
  entry->second = started_unix_ms;
  RebuildPools();
}

auto TargetDirectory::HasDeparted(const TargetRow& row) const -> bool {
  const auto found = departed_.find(row.id);
  return found != departed_.end() && row.started_unix_ms <= found->second;
}

auto TargetDirectory::HasAnnouncedExit(const TargetRow& row) const -> bool {
  return HasDeparted(row) ||
         drained_.count(std::make_pair(row.id, row.started_unix_ms)) != 0;
}

auto TargetDirectory::departed_count() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(departed_.begin(), departed_.end(), [this](const auto& e) {
        const auto* row = Find(e.first);
        return row != nullptr && HasDeparted(*row);
      }));
}

auto TargetDirectory::AsUpdates() const -> std::vector<TargetUpdate> {
  std::vector<TargetUpdate> all;
  for (const auto& [id, update] : newer_updates_) all.push_back(update);
  for (const auto& [id, row] : targets_) {
    if (newer_updates_.count(id) != 0) continue;
    all.push_back(TargetUpdate{list_version_, false, row});
  }
  return all;
}

auto TargetDirectory::RebuildPools() -> void {
  serving_by_pool_.clear();
  for (const auto& [id, target] : targets_) {
    if (target.is_draining || HasDeparted(target) ||
        evacuated_.count(target.data_center) != 0) {
      continue;
    }
    serving_by_pool_[target.pool].push_back(target);
  }
}

auto TargetDirectory::SetEvacuated(std::set<DataCenterId> data_centers)
    -> void {
  evacuated_ = std::move(data_centers);
  RebuildPools();
}

auto TargetDirectory::Serving(const PoolId& pool) const
    -> const std::vector<TargetRow>& {
  static const std::vector<TargetRow> kNone;
  const auto found = serving_by_pool_.find(pool);
  return found == serving_by_pool_.end() ? kNone : found->second;
}

auto TargetDirectory::IdsIn(const DataCenterId& data_center) const
    -> std::vector<TargetId> {
  std::vector<TargetId> ids;
  for (const auto& [id, target] : targets_) {
    if (target.data_center == data_center) ids.push_back(id);
  }
  return ids;
}

auto TargetDirectory::Find(const TargetId& id) const -> const TargetRow* {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

}  // namespace papayaplank
