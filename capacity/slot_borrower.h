// Leases that this router holds on slots of targets that others own.
#ifndef CAPACITY_SLOT_BORROWER_H_
#define CAPACITY_SLOT_BORROWER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "capacity/slot_messages.h"

namespace papayaplank {

// What waits at this router for the pool of a target.
struct WaitingWork {
  VirtualTime virtual_time;
  int interactive = 0;
  int total = 0;
};

// A report and the owner that it goes to.
struct AddressedReport {
  RouterId owner;
  LeaseReport report;
};

// Held leases, one for each target.
class SlotBorrower {
 public:
  SlotBorrower(RouterId self, LeaseOptions options);

  // Takes over an owner's update; a late one is ignored.
  auto Handle(const RouterId& owner, const LeaseUpdate& update, Time now)
      -> void;

  // Use. A lease that is about to expire takes no new request.
  auto TryAcquire(const TargetId& target, bool headroom, Time now) -> bool;
  auto Release(const TargetId& target, bool headroom) -> void;

  // Reports to each owner, or with `only_returns` to the owners that get a
  // slot back which was released since. `pressure` tells what waits for a
  // target's pool; slots without work are given back. Ends leases that
  // expired.
  auto Report(const std::function<WaitingWork(const TargetId&)>& pressure,
              bool only_returns, Time now) -> std::vector<AddressedReport>;

  // Directs the report on a target to the router that owns it now.
  auto SetOwner(const TargetId& target, const RouterId& owner) -> void;

  // Ownership moves to this router: ends the lease and returns what is busy.
  auto EndLease(const TargetId& target) -> SlotCounts;
  // Ownership moves away: requests in progress now count as leased.
  auto AdoptLease(const TargetId& target, const RouterId& owner,
                  SlotCounts busy) -> void;

  // Drops all leases, for a process that finds it was paused.
  auto ExpireAll() -> void;

  // State.
  auto FreeSlots(const TargetId& target, Time now) const -> SlotCounts;
  auto BusySlots(const TargetId& target) const -> SlotCounts;
  auto Targets() const -> std::vector<TargetId>;
  // Owners that have not answered reports since `since`.
  auto UnresponsiveOwners(Time since) const -> std::vector<RouterId>;

 private:
  struct Lease {
    RouterId owner;
    // Newest update of the owner; owners number their updates.
    std::uint64_t sequence = 0;
    SlotCounts allowed;
    SlotCounts busy;
    // The last moment, on this router's clock, at which a request may start.
    Time usable_until{};
    Time answered_at{};
    // The owner has confirmed that nothing is held. Kept until the lease
    // would have expired, so that a late grant is recognised.
    bool is_settled = false;
    // A request ended since the last report.
    bool has_released = false;
    // Shared slots that the owner counts here, as far as is known.
    int counted_by_owner = 0;
  };

  RouterId self_;
  LeaseOptions options_;
  std::map<TargetId, Lease> leases_;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_BORROWER_H_
