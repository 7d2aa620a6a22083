// Messages between the owner of a target's slots and a borrowing router.
#ifndef CAPACITY_SLOT_MESSAGES_H_
#define CAPACITY_SLOT_MESSAGES_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// Counts of the two kinds of slots of a target. Shared slots serve every
// request; headroom slots lie above the batch ceiling and serve interactive
// requests only.
struct SlotCounts {
  int shared = 0;
  int headroom = 0;

  auto total() const -> int { return shared + headroom; }
  friend auto operator==(const SlotCounts&, const SlotCounts&)
      -> bool = default;
};

// The smaller and the larger count of each kind.
inline auto Least(SlotCounts a, SlotCounts b) -> SlotCounts {
  return {std::min(a.shared, b.shared), std::min(a.headroom, b.headroom)};
}
inline auto Most(SlotCounts a, SlotCounts b) -> SlotCounts {
  return {std::max(a.shared, b.shared), std::max(a.headroom, b.headroom)};
}

// Times and thresholds of slot lending. The borrower stops using a lease
// `margin` before its duration ends, counted from before the owner granted
// it; the owner takes the slots back `margin` after.
struct LeaseOptions {
  Duration duration = milliseconds(1500);
  Duration renew_period = milliseconds(400);
  Duration margin = milliseconds(150);
  // How long the owner remembers a demand that is not repeated.
  Duration demand_lifetime = milliseconds(1500);
  Duration demand_period = milliseconds(500);
  // Difference of virtual time below which slots stay where they are.
  VirtualTime threshold{400};
  // Headroom slots per shared slot, and at least one.
  double headroom_share = 0.25;
};

// A router without free slots asks an owner for some of a pool.
struct SlotDemand {
  RouterId router;
  PoolId pool;
  SlotCounts wanted;
  // The asking router's virtual time and the weight that waits there.
  VirtualTime virtual_time;
  double backlog_weight = 0;
  // Cost that one more request is expected to charge there.
  Cost mean_estimate;
  // The borrower's clock when it asked; echoed by the owner.
  std::int64_t sent_at_us = 0;
};

// State of one lease at its owner, sent to the borrower: first as the grant,
// then as the answer to each report.
struct LeaseUpdate {
  TargetId target;
  // Raised at each update of this owner, so that a late one is ignored.
  std::uint64_t sequence = 0;
  SlotCounts allowed;
  // From the demand or report that this answers.
  std::int64_t echo_us = 0;
  // The owner counts nothing as lent any more; no report is needed.
  bool is_over = false;
};

// Updates of one owner to one borrower.
struct LeaseUpdates {
  RouterId owner;
  std::vector<LeaseUpdate> updates;
};

// State of one lease at its borrower.
struct HeldLease {
  TargetId target;
  SlotCounts held;
  SlotCounts busy;
  VirtualTime virtual_time;
  // Whether requests wait at the borrower for this pool.
  bool has_backlog = false;
  // The newest `LeaseUpdate::sequence` seen, so that an older report does
  // not shrink a newer grant.
  std::uint64_t seen_sequence = 0;
};

// A borrower reports all its leases of one owner.
struct LeaseReport {
  RouterId router;
  std::int64_t sent_at_us = 0;
  std::vector<HeldLease> leases;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_MESSAGES_H_
