// This router's view of the fleet: the targets and the routers that own them.
#ifndef ROUTER_FLEET_VIEW_H_
#define ROUTER_FLEET_VIEW_H_

#include <map>
#include <set>
#include <vector>

#include "membership/membership.h"
#include "placement/placement.h"

namespace papayaplank {

// Result of `FleetView::Refresh`; empty if nothing has changed.
struct OwnershipChange {
  // All targets that this router owns now, those gained and those kept.
  std::vector<TargetId> owned;
  std::vector<TargetId> lost;
  // Targets that are no longer in the instance list.
  std::vector<TargetId> removed;
};

// The targets and, among the active members, the owner of each.
class FleetView {
 public:
  explicit FleetView(RouterId self) : self_(std::move(self)) {}

  // Replaces the list of targets. A target that was marked as leaving stays so
  // while it is listed.
  auto SetTargets(std::vector<TargetInfo> targets) -> void;

  // Marks a target as leaving, after its own announcement.
  auto MarkLeaving(const TargetId& target) -> void;

  // Recomputes the owners if members or targets have changed.
  auto Refresh(const MemberList& members) -> OwnershipChange;

  // The target, or null if it is unknown.
  auto FindTarget(const TargetId& id) const -> const TargetInfo*;
  auto PoolTargets(const PoolId& pool) const -> const std::vector<TargetId>&;
  // The owner, or an empty id if the target is unknown.
  auto TargetOwner(const TargetId& id) const -> RouterId;
  // Routers other than this one that own targets of the pool, each once.
  auto OtherPoolOwners(const PoolId& pool) const -> std::vector<RouterId>;
  auto HasPool(const PoolId& pool) const -> bool;
  auto targets() const -> const std::map<TargetId, TargetInfo>& {
    return targets_;
  }

 private:
  RouterId self_;
  std::map<TargetId, TargetInfo> targets_;
  std::map<PoolId, std::vector<TargetId>> by_pool_;
  std::map<TargetId, RouterId> owners_;
  std::set<TargetId> leaving_;
  std::vector<TargetId> removed_;
  // `MemberList::generation` at the last refresh.
  std::uint64_t seen_generation_ = 0;
  bool has_new_targets_ = false;
};

}  // namespace papayaplank

#endif  // ROUTER_FLEET_VIEW_H_
