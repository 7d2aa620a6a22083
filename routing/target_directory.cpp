// Upkeep of the list of targets.
#include "routing/target_directory.h"

namespace papayaplank {
namespace {

constexpr std::size_t kMaxDrainedRemembered = 4096;

auto IsNewIncarnation(const TargetRow& before, const TargetRow& now) -> bool {
  return before.started_unix_ms != now.started_unix_ms ||
         now.reports < before.reports || before.address != now.address;
}

}  // namespace

auto TargetDirectory::IsChanged(const TargetRow& row) const -> bool {
  const auto found = targets_.find(row.id);
  if (found == targets_.end()) return true;
  const auto& known = found->second;
  return known.is_draining != row.is_draining || known.pool != row.pool ||
         IsNewIncarnation(known, row);
}

auto TargetDirectory::Upsert(TargetRow row, DirectoryChange& change) -> void {
  const auto incarnation = std::make_pair(row.id, row.started_unix_ms);
  if (row.is_draining) {
    if (drained_.size() >= kMaxDrainedRemembered) drained_.clear();
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
  if (IsNewIncarnation(found->second, row)) change.restarted.push_back(row.id);
  if (row.is_draining && !found->second.is_draining) {
    change.left.push_back(row.id);
  }
  found->second = std::move(row);
}

auto TargetDirectory::Remove(const TargetId& id, DirectoryChange& change)
    -> void {
  if (targets_.erase(id) != 0) change.left.push_back(id);
}

auto TargetDirectory::Apply(const TargetListing& listing) -> DirectoryChange {
  DirectoryChange change;
  if (listing.version < listed_version_) return change;
  listed_version_ = listing.version;
  std::erase_if(newer_, [&listing](const auto& entry) {
    return entry.second.version <= listing.version;
  });
  std::set<TargetId> present;
  for (const auto& row : listing.rows) {
    present.insert(row.id);
    if (newer_.count(row.id) != 0) continue;
    if (IsChanged(row)) {
      change.news.push_back(TargetNews{listing.version, false, row});
    }
    Upsert(row, change);
  }
  std::vector<TargetId> missing;
  for (const auto& [id, target] : targets_) {
    if (present.count(id) == 0 && newer_.count(id) == 0) missing.push_back(id);
  }
  if (!listing.is_store_recovering) {
    for (const auto& id : missing) {
      TargetNews news{listing.version, true, {}};
      news.row.id = id;
      change.news.push_back(std::move(news));
      Remove(id, change);
    }
  }
  RebuildPools();
  return change;
}

auto TargetDirectory::Apply(const TargetNews& news) -> DirectoryChange {
  DirectoryChange change;
  const auto& id = news.row.id;
  if (news.version <= listed_version_) return change;
  const auto known = newer_.find(id);
  if (known != newer_.end() && known->second.version >= news.version) {
    return change;
  }
  newer_[id] = news;
  if (news.is_gone) {
    Remove(id, change);
  } else {
    Upsert(news.row, change);
  }
  RebuildPools();
  return change;
}

auto TargetDirectory::AsNews() const -> std::vector<TargetNews> {
  std::vector<TargetNews> all;
  for (const auto& [id, news] : newer_) all.push_back(news);
  for (const auto& [id, row] : targets_) {
    if (newer_.count(id) != 0) continue;
    all.push_back(TargetNews{listed_version_, false, row});
  }
  return all;
}

auto TargetDirectory::RebuildPools() -> void {
  by_pool_.clear();
  for (const auto& [id, target] : targets_) {
    if (!target.is_draining) by_pool_[target.pool].push_back(target);
  }
}

auto TargetDirectory::Serving(const PoolId& pool) const
    -> const std::vector<TargetRow>& {
  static const std::vector<TargetRow> kNone;
  const auto found = by_pool_.find(pool);
  return found == by_pool_.end() ? kNone : found->second;
}

auto TargetDirectory::Find(const TargetId& id) const -> const TargetRow* {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

}  // namespace papayaplank
