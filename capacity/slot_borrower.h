// Leases that this router holds on slots of targets that other routers own.
#ifndef CAPACITY_SLOT_BORROWER_H_
#define CAPACITY_SLOT_BORROWER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "capacity/slot_messages.h"

namespace papayaplank {

// Requests that wait at this router for the pool of a target.
struct WaitingWork {
  VirtualTime virtual_time;
  // Numbers of requests.
  int interactive = 0;
  int total = 0;
};

// A report and the owner that it goes to.
struct AddressedReport {
  RouterId owner;
  LeaseReport report;
};

// Held leases, at most one for each target.
class SlotBorrower {
 public:
  SlotBorrower(RouterId self, LeaseOptions options);

  // Applies an owner's update. One that arrives out of order is ignored.
  auto Handle(const RouterId& owner, const LeaseUpdate& update, Time now)
      -> void;

  // Takes and releases one slot, a headroom slot if `headroom` is set, else a
  // shared one. `TryAcquire` fails if none is free or the lease is about to
  // expire.
  auto TryAcquire(const TargetId& target, bool headroom, Time now) -> bool;
  auto Release(const TargetId& target, bool headroom) -> void;

  // Removes expired leases and returns the reports to the owners. Gives back
  // the slots that are not in use and that no waiting request needs;
  // `waiting_for` returns the waiting requests for a target.
  // With `only_returns`, reports only leases of which a slot was released since
  // the last report and is given back.
  auto Report(const std::function<WaitingWork(const TargetId&)>& waiting_for,
              bool only_returns, Time now) -> std::vector<AddressedReport>;

  // Sets the router that gets the reports on a target, after a change of owner.
  auto SetOwner(const TargetId& target, const RouterId& owner) -> void;

  // Ends the lease because this router now owns the target. Returns the slots
  // in use.
  auto EndLease(const TargetId& target) -> SlotCounts;
  // Starts a lease for the slots in use because this router no longer owns the
  // target.
  auto AdoptLease(const TargetId& target, const RouterId& owner,
                  SlotCounts busy) -> void;

  // Expires all leases, after a pause of the process. Slots in use stay
  // counted.
  auto ExpireAll() -> void;

  // State.
  auto FreeSlots(const TargetId& target, Time now) const -> SlotCounts;
  auto BusySlots(const TargetId& target) const -> SlotCounts;
  auto Targets() const -> std::vector<TargetId>;
  // Owners that have sent no update since `since`, once for each lease.
  auto UnresponsiveOwners(Time since) const -> std::vector<RouterId>;

 private:
  struct Lease {
    RouterId owner;
    // Number of the owner's newest update.
    std::uint64_t sequence = 0;
    SlotCounts allowed;
    SlotCounts busy;
    // No request may start from this time on, by this router's clock.
    Time usable_until{};
    // Arrival of the owner's newest update.
    Time answered_at{};
    // The owner has confirmed that nothing is held. The entry is kept until the
    // lease would have expired, so that a late grant is recognised.
    bool is_ended = false;
    // A slot was released since the last report.
    bool has_released = false;
    // Shared slots that the owner counts as lent to this router, at most.
    int counted_by_owner = 0;
  };

  RouterId self_;
  LeaseOptions options_;
  std::map<TargetId, Lease> leases_;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_BORROWER_H_
