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

auto TargetDirectory::Apply(const std::vector<TargetRow>& rows, Time now)
    -> DirectoryChange {
  const auto is_first = listed_at_ == Time{};
  if (!is_first && now - listed_at_ > kOutageGap) {
    grace_until_ = now + kOutageGrace;
  }
  listed_at_ = now;
  DirectoryChange change;
  std::set<TargetId> present;
  for (auto row : rows) {
    present.insert(row.id);
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
      targets_.emplace(row.id, row);
      continue;
    }
    if (IsNewIncarnation(found->second, row)) {
      change.restarted.push_back(row.id);
    }
    if (row.is_draining && !found->second.is_draining) {
      change.left.push_back(row.id);
    }
    found->second = row;
  }
  if (now >= grace_until_) {
    for (auto it = targets_.begin(); it != targets_.end();) {
      if (present.count(it->first) != 0) {
        ++it;
        continue;
      }
      change.left.push_back(it->first);
      it = targets_.erase(it);
    }
  }
  RebuildPools();
  return change;
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
