// Slots of the targets that this router owns: its own use, the leases of
// other routers, and the rule that decides where a free slot goes.
//
// Rule `level`: a free slot goes to the router with waiting requests whose
// virtual time is furthest behind, if it is behind by more than a threshold.
#ifndef CAPACITY_SLOT_OWNER_H_
#define CAPACITY_SLOT_OWNER_H_

#include <map>
#include <optional>
#include <vector>

#include "capacity/adaptive_limit.h"
#include "capacity/slot_messages.h"
#include "placement/placement.h"

namespace papayaplank {

// What this router itself has waiting at a pool.
struct LocalDemand {
  bool has_interactive = false;
  bool has_batch = false;
  VirtualTime virtual_time;

  auto has_any() const -> bool { return has_interactive || has_batch; }
};

// A lease update and the router that it goes to.
struct AddressedUpdate {
  RouterId borrower;
  LeaseUpdate update;
};

// Slots of the owned targets.
class SlotOwner {
 public:
  SlotOwner(RouterId self, LeaseOptions options, LatencyObjective objective);

  // Ownership. `AddTarget` is safe to repeat; a leaving target lends no new
  // slots.
  auto AddTarget(const TargetInfo& target) -> void;
  auto RemoveTarget(const TargetId& target) -> void;
  auto IsOwned(const TargetId& target) const -> bool;

  // Use by this router. `TryAcquire` takes one slot of the kind.
  auto TryAcquire(const TargetId& target, bool headroom) -> bool;
  auto Release(const TargetId& target, bool headroom) -> void;
  // Counts the slots that requests of this router still hold on a target
  // that it has just come to own.
  auto AddSlotsInUse(const TargetId& target, SlotCounts in_use) -> void;

  // Peers.
  auto Handle(const SlotDemand& demand, Time now) -> void;
  auto Handle(const LeaseReport& report, const LocalDemand& local,
              const PoolId& pool, Time now) -> std::vector<AddressedUpdate>;
  // Takes back every slot that a dead router held.
  auto DropBorrower(const RouterId& borrower) -> void;
  // Lends free slots of the pool according to the rule `level`.
  auto Lend(const PoolId& pool, const LocalDemand& local, Time now)
      -> std::vector<AddressedUpdate>;
  // Ends expired leases and forgets old demands.
  auto Expire(Time now) -> void;

  // Whether the next free shared slot of the pool belongs to another router.
  auto IsOwedToPeer(const PoolId& pool, const LocalDemand& local) const -> bool;

  // Latency.
  auto Observe(const TargetId& target, LatencySample sample) -> void;
  auto AdjustLimits(Time now) -> void;

  // State.
  auto FreeSlots(const TargetId& target) const -> SlotCounts;
  auto SlotLimits(const TargetId& target) const -> SlotCounts;
  auto SlotsInUse(const TargetId& target) const -> SlotCounts;
  auto LentSlots(const TargetId& target) const -> SlotCounts;
  auto OwnedTargets() const -> std::vector<TargetId>;
  auto FindPool(const TargetId& target) const -> PoolId;

 private:
  // An update that the borrower's reports do not reflect yet.
  struct UnseenUpdate {
    std::uint64_t sequence = 0;
    SlotCounts allowed;
  };
  struct Lease {
    std::uint64_t sequence = 0;
    std::vector<UnseenUpdate> unseen;
    // What the borrower may hold, as this router last counted it.
    SlotCounts counted;
    // What the borrower is allowed; below `counted` while slots are recalled.
    SlotCounts allowed;
    Time expires{};
    // Send time of the newest report, so that a late one changes nothing.
    std::int64_t reported_us = 0;
    Time renewed_at{};
    bool is_confirmed = false;
  };
  struct OwnedTarget {
    TargetInfo info;
    AdaptiveLimit limit;
    SlotCounts in_use;
    std::map<RouterId, Lease> leases;

    auto lent() const -> SlotCounts;
    auto capacity(double headroom_share) const -> SlotCounts;
  };
  struct Demand {
    SlotDemand request;
    Time received{};
  };
  using Demands = std::map<RouterId, Demand>;

  auto FreeSlots(const OwnedTarget& target) const -> SlotCounts;
  // The demand that is furthest behind and still wants slots; null if none.
  auto MostBehind(const PoolId& pool, bool headroom) const -> const Demand*;
  auto BestTarget(const PoolId& pool, bool headroom) -> OwnedTarget*;
  auto Grant(OwnedTarget& target, Demand& demand, SlotCounts counts, Time now)
      -> AddressedUpdate;
  auto ResendUnconfirmed(const SlotDemand& demand, Time now) -> void;
  // Extends a lease and makes the update that says so; it answers a message
  // that the borrower sent at `echo_us`.
  auto Renew(const TargetId& target, Lease& lease, std::int64_t echo_us,
             Time now) -> LeaseUpdate;
  auto Settle(OwnedTarget& target, const RouterId& borrower,
              const HeldLease& held, const LocalDemand& local,
              std::int64_t echo_us, Time now) -> std::optional<AddressedUpdate>;
  // Counts the most that the borrower may hold: what the report shows, or
  // what any update allows that it cannot show yet.
  static auto CountHeld(const HeldLease& held, Lease& lease) -> void;
  // Lowers what the borrower may hold: it is ahead, or the target is overfull.
  auto Recall(const OwnedTarget& target, const RouterId& borrower,
              const HeldLease& held, const LocalDemand& local, Lease& lease)
      -> void;

  RouterId self_;
  LeaseOptions options_;
  LatencyObjective objective_;
  // For each target: in use + lent exceeds the capacity only after the limit
  // has fallen or a lease was adopted from an earlier owner.
  std::map<TargetId, OwnedTarget> targets_;
  std::map<PoolId, Demands> demands_;
  std::vector<AddressedUpdate> resends_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_OWNER_H_
