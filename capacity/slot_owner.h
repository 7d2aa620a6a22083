// Slots of the targets that this router owns: its own use, the leases of
// other routers, and the rule that decides which router gets a free slot.
//
// Lending rule: a free slot goes to the router with waiting requests and the
// lowest virtual time. This router counts as well, and keeps the slot unless
// its virtual time is higher by more than a threshold.
#ifndef CAPACITY_SLOT_OWNER_H_
#define CAPACITY_SLOT_OWNER_H_

#include <map>
#include <optional>
#include <vector>

#include "capacity/adaptive_limit.h"
#include "capacity/slot_messages.h"
#include "placement/placement.h"

namespace papayaplank {

// Requests that wait at this router for a pool.
struct LocalDemand {
  bool has_interactive = false;
  // The router core sets it for requests of either kind; only `has_any` reads
  // it.
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

  // Ownership. `AddTarget` updates the description of a target that is owned
  // already. A leaving target has no free slots.
  auto AddTarget(const TargetInfo& target) -> void;
  auto RemoveTarget(const TargetId& target) -> void;
  auto IsOwned(const TargetId& target) const -> bool;

  // Use by this router. `TryAcquire` takes one slot, if one is free: a headroom
  // slot if `headroom` is set, else a shared one.
  auto TryAcquire(const TargetId& target, bool headroom) -> bool;
  auto Release(const TargetId& target, bool headroom) -> void;
  // Adds the slots that requests of this router hold already on a target that
  // it has begun to own.
  auto AddSlotsInUse(const TargetId& target, SlotCounts in_use) -> void;

  // Peers.
  auto Handle(const SlotDemand& demand, Time now) -> void;
  // Applies what the report says of leases on targets of `pool`, and returns
  // the updates to send. `local` is the demand of this router in the pool.
  auto Handle(const LeaseReport& report, const LocalDemand& local,
              const PoolId& pool, Time now) -> std::vector<AddressedUpdate>;
  // Removes the leases and demands of a dead router.
  auto DropBorrower(const RouterId& borrower) -> void;
  // Lends free slots of the pool by the lending rule. Returns the updates to
  // send, among them repeated grants.
  auto Lend(const PoolId& pool, const LocalDemand& local, Time now)
      -> std::vector<AddressedUpdate>;
  // Removes expired leases and old demands.
  auto Expire(Time now) -> void;

  // Whether the lending rule gives the pool's next free shared slot to another
  // router.
  auto IsNextSlotForPeer(const PoolId& pool, const LocalDemand& local) const
      -> bool;

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
  // An update that the borrower may not have received yet.
  struct UnacknowledgedUpdate {
    std::uint64_t sequence = 0;
    SlotCounts allowed;
  };
  struct Lease {
    std::uint64_t sequence = 0;
    std::vector<UnacknowledgedUpdate> unacknowledged;
    // Upper bound of what the borrower holds. These slots count as lent.
    SlotCounts counted;
    // What the borrower may hold; less than `counted` while slots are recalled.
    SlotCounts allowed;
    Time expires{};
    // Send time of the newest report, so that an older one changes nothing.
    std::int64_t reported_us = 0;
    Time renewed_at{};
    // Whether the borrower has reported since the last grant.
    bool is_confirmed = false;
  };
  struct OwnedTarget {
    TargetInfo info;
    AdaptiveLimit limit;
    SlotCounts in_use;
    std::map<RouterId, Lease> leases;

    // Slots counted as lent to all borrowers.
    auto lent() const -> SlotCounts;
    auto capacity(double headroom_share) const -> SlotCounts;
  };
  // The newest demand of a router, less the slots lent since it arrived.
  struct Demand {
    SlotDemand message;
    Time received{};
  };
  using Demands = std::map<RouterId, Demand>;

  auto FreeSlots(const OwnedTarget& target) const -> SlotCounts;
  // The demand with the lowest virtual time that still wants slots, or null.
  auto LeastServedDemand(const PoolId& pool, bool headroom) const
      -> const Demand*;
  auto TargetWithMostFreeSlots(const PoolId& pool, bool headroom)
      -> OwnedTarget*;
  // Lends `counts` more slots of the target to the router of the demand.
  auto Grant(OwnedTarget& target, Demand& demand, SlotCounts counts, Time now)
      -> AddressedUpdate;
  // Queues grants that no report of the borrower has confirmed, so that the
  // next call of `Lend` returns them again.
  auto ResendUnconfirmed(const SlotDemand& demand, Time now) -> void;
  // Extends a lease and returns its update. The update answers the message that
  // the borrower sent at `echo_us`.
  auto Renew(const TargetId& target, Lease& lease, std::int64_t echo_us,
             Time now) -> LeaseUpdate;
  // Applies a borrower's report on one lease. Returns an update if the lease
  // has changed or is due for renewal.
  auto ApplyReport(OwnedTarget& target, const RouterId& borrower,
                   const HeldLease& held, const LocalDemand& local,
                   std::int64_t echo_us, Time now)
      -> std::optional<AddressedUpdate>;
  // Lowers `counted` to the most that the borrower may hold: what it reports,
  // or what an update that it has not received yet allows.
  static auto LowerCounted(const HeldLease& held, Lease& lease) -> void;
  // Lowers what the borrower may hold: to one slot less than it uses if others
  // have received less service, and by the excess if more slots are in use and
  // lent than the target has.
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
  // Grants that the next call of `Lend` returns again.
  std::vector<AddressedUpdate> resends_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_OWNER_H_
