// Messages between the owner of a target's slots and a borrowing router.
#ifndef CAPACITY_SLOT_MESSAGES_H_
#define CAPACITY_SLOT_MESSAGES_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// Counts of the two kinds of slots of a target. Shared slots serve every
// request; headroom slots come on top of the adaptive limit and serve
// interactive requests only.
struct SlotCounts {
  int shared = 0;
  int headroom = 0;

  auto total() const -> int { return shared + headroom; }
  friend auto operator==(const SlotCounts&, const SlotCounts&)
      -> bool = default;
};

// The smaller, and the larger, count of each kind.
inline auto ElementwiseMin(SlotCounts a, SlotCounts b) -> SlotCounts {
  return {std::min(a.shared, b.shared), std::min(a.headroom, b.headroom)};
}
inline auto ElementwiseMax(SlotCounts a, SlotCounts b) -> SlotCounts {
  return {std::max(a.shared, b.shared), std::max(a.headroom, b.headroom)};
}

// Times and thresholds of slot lending. The borrower counts the duration of a
// lease from the send time of the message that the owner answered with it, and
// stops using the lease `margin` before its end. The owner counts from the
// grant, and takes the slots back `margin` after the end, so that the borrower
// stops first.
struct LeaseOptions {
  Duration duration = milliseconds(1500);
  Duration renew_period = milliseconds(400);
  Duration margin = milliseconds(150);
  // How long the owner keeps a demand that is not sent again.
  Duration demand_lifetime = milliseconds(1500);
  Duration demand_period = milliseconds(500);
  // Difference of virtual time up to which slots stay where they are, in cost
  // units per unit of weight.
  VirtualTime threshold{400};
  // Headroom slots per shared slot, and at least one.
  double headroom_share = 0.25;
};

// Asks the owner of targets for slots of a pool. A demand for no slots
// withdraws the earlier one.
struct SlotDemand {
  RouterId router;
  PoolId pool;
  // Further slots, for requests that wait at the asking router.
  SlotCounts wanted;
  // The asking router's virtual time, and the weights of the customers with
  // requests waiting there.
  VirtualTime virtual_time;
  double backlog_weight = 0;
  // Expected cost of the next request there.
  Cost mean_estimate;
  // Send time by the borrower's clock, in microseconds; echoed by the owner.
  std::int64_t sent_at_us = 0;
};

// State of one lease at its owner, sent to the borrower as a grant and as the
// answer to reports.
struct LeaseUpdate {
  TargetId target;
  // Raised with each update of this owner, so that the borrower can ignore
  // updates that arrive out of order.
  std::uint64_t sequence = 0;
  SlotCounts allowed;
  // `sent_at_us` of the demand or report that this answers.
  std::int64_t echo_us = 0;
  // The owner no longer counts any slot as lent; no report is needed.
  bool is_over = false;
};

// Updates of one owner to one borrower.
struct LeaseUpdates {
  RouterId owner;
  std::vector<LeaseUpdate> updates;
};

// State of one lease at its borrower. `held` includes the busy slots.
struct HeldLease {
  TargetId target;
  SlotCounts held;
  SlotCounts busy;
  // The borrower's, in the target's pool.
  VirtualTime virtual_time;
  // Whether requests wait at the borrower for this pool.
  bool has_backlog = false;
  // The newest `LeaseUpdate::sequence` received, so that a report sent before a
  // grant arrived does not shrink the grant.
  std::uint64_t seen_sequence = 0;
};

// A borrower's report on leases of one owner.
struct LeaseReport {
  RouterId router;
  std::int64_t sent_at_us = 0;
  std::vector<HeldLease> leases;
};

}  // namespace papayaplank

#endif  // CAPACITY_SLOT_MESSAGES_H_
