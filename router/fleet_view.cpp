// Computes which active member owns each target.
#include "router/fleet_view.h"

#include <algorithm>

namespace papayaplank {

auto FleetView::SetTargets(std::vector<TargetInfo> targets) -> void {
  std::map<TargetId, TargetInfo> next;
  for (auto& target : targets) {
    if (leaving_.count(target.id) != 0) target.is_leaving = true;
    const auto id = target.id;
    next[id] = std::move(target);
  }
  for (const auto& [id, target] : targets_) {
    if (next.count(id) == 0) removed_.push_back(id);
  }
  std::erase_if(leaving_,
                [&next](const TargetId& id) { return next.count(id) == 0; });
  targets_ = std::move(next);
  by_pool_.clear();
  for (const auto& [id, target] : targets_) {
    by_pool_[target.pool].push_back(id);
  }
  has_new_targets_ = true;
}

auto FleetView::MarkLeaving(const TargetId& target) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  leaving_.insert(target);
  found->second.is_leaving = true;
  has_new_targets_ = true;
}

auto FleetView::Refresh(const MemberList& members) -> OwnershipChange {
  OwnershipChange change;
  if (!has_new_targets_ && members.generation() == seen_generation_) {
    return change;
  }
  has_new_targets_ = false;
  seen_generation_ = members.generation();
  const auto active = members.ActiveMembers();
  std::map<TargetId, RouterId> owners;
  for (const auto& [id, target] : targets_) {
    const auto owner = ChooseOwner(target, active);
    // Without an active member this router, which is leaving as the last one,
    // keeps the target.
    owners[id] = owner.value_or(self_);
    // Owned targets are returned at each refresh, so that changes of their
    // description reach the slot owner.
    if (owners[id] == self_) change.owned.push_back(id);
    const auto before = owners_.find(id);
    const auto was_owned = before != owners_.end() && before->second == self_;
    if (was_owned && owners[id] != self_) change.lost.push_back(id);
  }
  change.removed = std::exchange(removed_, {});
  owners_ = std::move(owners);
  return change;
}

auto FleetView::FindTarget(const TargetId& id) const -> const TargetInfo* {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

auto FleetView::PoolTargets(const PoolId& pool) const
    -> const std::vector<TargetId>& {
  static const std::vector<TargetId> kNone;
  const auto found = by_pool_.find(pool);
  return found == by_pool_.end() ? kNone : found->second;
}

auto FleetView::TargetOwner(const TargetId& id) const -> RouterId {
  const auto found = owners_.find(id);
  return found == owners_.end() ? RouterId() : found->second;
}

auto FleetView::OtherPoolOwners(const PoolId& pool) const
    -> std::vector<RouterId> {
  std::set<RouterId> owners;
  for (const auto& id : PoolTargets(pool)) {
    const auto owner = TargetOwner(id);
    if (!owner.is_empty() && owner != self_) owners.insert(owner);
  }
  return {owners.begin(), owners.end()};
}

auto FleetView::HasPool(const PoolId& pool) const -> bool {
  return by_pool_.count(pool) != 0;
}

}  // namespace papayaplank
