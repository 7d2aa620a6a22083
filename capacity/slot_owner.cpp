// Lending of slots by virtual time. A lease expires by itself if either side
// fails.
#include "capacity/slot_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayaplank {

SlotOwner::SlotOwner(RouterId self, LeaseOptions options,
                     LatencyObjective objective)
    : self_(std::move(self)), options_(options), objective_(objective) {}

auto SlotOwner::OwnedTarget::lent() const -> SlotCounts {
  SlotCounts sum;
  for (const auto& [borrower, lease] : leases) {
    sum.shared += lease.counted.shared;
    sum.headroom += lease.counted.headroom;
  }
  return sum;
}

auto SlotOwner::OwnedTarget::capacity(double headroom_share) const
    -> SlotCounts {
  if (info.is_leaving) return {};
  const auto shared = limit.limit();
  const auto headroom =
      std::max(1, static_cast<int>(std::ceil(shared * headroom_share)));
  return {shared, headroom};
}

auto SlotOwner::AddTarget(const TargetInfo& target) -> void {
  const auto found = targets_.find(target.id);
  if (found != targets_.end()) {
    found->second.info = target;
    return;
  }
  targets_.emplace(
      target.id,
      OwnedTarget{target, AdaptiveLimit(target.slots, objective_), {}, {}});
}

auto SlotOwner::RemoveTarget(const TargetId& target) -> void {
  targets_.erase(target);
}

auto SlotOwner::IsOwned(const TargetId& target) const -> bool {
  return targets_.count(target) != 0;
}

auto SlotOwner::TryAcquire(const TargetId& target, bool headroom) -> bool {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return false;
  const auto free = FreeSlots(found->second);
  if ((headroom ? free.headroom : free.shared) <= 0) return false;
  ++(headroom ? found->second.in_use.headroom : found->second.in_use.shared);
  return true;
}

auto SlotOwner::Release(const TargetId& target, bool headroom) -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  auto& count =
      headroom ? found->second.in_use.headroom : found->second.in_use.shared;
  count = std::max(0, count - 1);
}

auto SlotOwner::AddSlotsInUse(const TargetId& target, SlotCounts in_use)
    -> void {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return;
  found->second.in_use.shared += in_use.shared;
  found->second.in_use.headroom += in_use.headroom;
}

auto SlotOwner::Handle(const SlotDemand& demand, Time now) -> void {
  auto& demands = demands_[demand.pool];
  if (demand.wanted.total() == 0) {
    demands.erase(demand.router);
    return;
  }
  demands[demand.router] = {demand, now};
  ResendUnconfirmed(demand, now);
}

auto SlotOwner::ResendUnconfirmed(const SlotDemand& demand, Time now) -> void {
  for (auto& [id, target] : targets_) {
    if (target.info.pool != demand.pool) continue;
    const auto found = target.leases.find(demand.router);
    if (found == target.leases.end() || found->second.is_confirmed) continue;
    auto& lease = found->second;
    resends_.push_back(
        {demand.router, Renew(id, lease, demand.sent_at_us, now)});
  }
}

auto SlotOwner::Handle(const LeaseReport& report, const LocalDemand& local,
                       const PoolId& pool, Time now)
    -> std::vector<AddressedUpdate> {
  std::vector<AddressedUpdate> updates;
  for (const auto& held : report.leases) {
    const auto found = targets_.find(held.target);
    if (found == targets_.end()) continue;
    if (found->second.info.pool != pool) continue;
    auto update = ApplyReport(found->second, report.router, held, local,
                              report.sent_at_us, now);
    if (update) updates.push_back(std::move(*update));
  }
  return updates;
}

auto SlotOwner::ApplyReport(OwnedTarget& target, const RouterId& borrower,
                            const HeldLease& held, const LocalDemand& local,
                            std::int64_t echo_us, Time now)
    -> std::optional<AddressedUpdate> {
  const auto is_known = target.leases.count(borrower) != 0;
  if (!is_known && held.busy.total() == 0) {
    return AddressedUpdate{
        borrower,
        {target.info.id, next_sequence_++, SlotCounts{}, echo_us, true}};
  }
  auto& lease = target.leases[borrower];
  if (!is_known) {
    // A former owner granted the lease, or it expired here: it continues for
    // the requests in progress only, and no new ones may start.
    lease.counted = held.busy;
    lease.allowed = held.busy;
  }
  if (echo_us < lease.reported_us) return std::nullopt;
  const auto allowed_before = lease.allowed;
  lease.reported_us = echo_us;
  lease.is_confirmed = true;
  LowerCounted(held, lease);
  Recall(target, borrower, held, local, lease);
  const auto is_changed =
      !(lease.allowed == allowed_before) || lease.counted.total() == 0;
  const auto is_recently_renewed =
      now - lease.renewed_at < options_.renew_period / 2;
  if (!is_changed && is_recently_renewed) return std::nullopt;
  lease.renewed_at = now;
  auto update = Renew(target.info.id, lease, echo_us, now);
  update.is_over = lease.counted.total() == 0;
  if (update.is_over) target.leases.erase(borrower);
  return AddressedUpdate{borrower, std::move(update)};
}

auto SlotOwner::LowerCounted(const HeldLease& held, Lease& lease) -> void {
  std::erase_if(lease.unacknowledged,
                [&held](const UnacknowledgedUpdate& update) {
                  return update.sequence <= held.seen_sequence;
                });
  auto upper_bound = ElementwiseMax(held.held, held.busy);
  for (const auto& update : lease.unacknowledged) {
    upper_bound = ElementwiseMax(upper_bound, update.allowed);
  }
  lease.counted = ElementwiseMin(lease.counted, upper_bound);
  lease.allowed = ElementwiseMin(lease.allowed, lease.counted);
}

auto SlotOwner::Recall(const OwnedTarget& target, const RouterId& borrower,
                       const HeldLease& held, const LocalDemand& local,
                       Lease& lease) -> void {
  if (target.info.is_leaving) {
    lease.allowed = {};
    return;
  }
  auto lowest = held.virtual_time;
  if (local.has_any()) lowest = std::min(lowest, local.virtual_time);
  const auto* least_served = LeastServedDemand(target.info.pool, false);
  if (least_served != nullptr && least_served->message.router != borrower) {
    lowest = std::min(lowest, least_served->message.virtual_time);
  }
  if (held.virtual_time > lowest + options_.threshold) {
    const auto in_use = std::min(lease.allowed.shared, held.busy.shared);
    lease.allowed.shared = std::max(0, in_use - 1);
  }
  const auto excess = -FreeSlots(target).shared;
  if (excess > 0) {
    lease.allowed.shared = std::max(0, lease.allowed.shared - excess);
  }
}

auto SlotOwner::DropBorrower(const RouterId& borrower) -> void {
  for (auto& [id, target] : targets_) target.leases.erase(borrower);
  for (auto& [pool, demands] : demands_) demands.erase(borrower);
}

auto SlotOwner::Lend(const PoolId& pool, const LocalDemand& local, Time now)
    -> std::vector<AddressedUpdate> {
  auto updates = std::exchange(resends_, {});
  for (const auto headroom : {false, true}) {
    for (;;) {
      const auto* least_served = LeastServedDemand(pool, headroom);
      if (least_served == nullptr) break;
      const auto has_local = headroom ? local.has_interactive : local.has_any();
      const auto is_local_served_first =
          has_local &&
          local.virtual_time <=
              least_served->message.virtual_time + options_.threshold;
      if (is_local_served_first) break;
      auto* target = TargetWithMostFreeSlots(pool, headroom);
      if (target == nullptr) break;
      auto& demand = demands_[pool][least_served->message.router];
      const auto counts = headroom ? SlotCounts{0, 1} : SlotCounts{1, 0};
      updates.push_back(Grant(*target, demand, counts, now));
    }
  }
  // Each update holds the full state, so only the newest of a lease is sent.
  std::map<std::pair<RouterId, TargetId>, AddressedUpdate> newest;
  for (auto& each : updates) {
    newest[{each.borrower, each.update.target}] = each;
  }
  std::vector<AddressedUpdate> result;
  for (auto& [key, each] : newest) result.push_back(std::move(each));
  return result;
}

auto SlotOwner::Grant(OwnedTarget& target, Demand& demand, SlotCounts counts,
                      Time now) -> AddressedUpdate {
  const auto& borrower = demand.message.router;
  auto& lease = target.leases[borrower];
  // If a slot is being recalled from the borrower, the recall is undone instead
  // of lending another slot; else the recalled one would go unused.
  const auto is_recalling = lease.allowed.shared < lease.counted.shared;
  if (!is_recalling || counts.shared == 0) {
    lease.counted.shared += counts.shared;
    lease.counted.headroom += counts.headroom;
  }
  lease.allowed.shared += counts.shared;
  lease.allowed.headroom += counts.headroom;
  lease.is_confirmed = false;
  auto update = Renew(target.info.id, lease, demand.message.sent_at_us, now);
  demand.message.wanted.shared -= counts.shared;
  demand.message.wanted.headroom -= counts.headroom;
  // The borrower will start a request on this slot. Until it reports, its
  // virtual time is assumed to have risen by that request's expected cost.
  const auto weight = Weight{std::max(0.01, demand.message.backlog_weight)};
  demand.message.virtual_time =
      demand.message.virtual_time + demand.message.mean_estimate / weight;
  return {borrower, std::move(update)};
}

auto SlotOwner::Renew(const TargetId& target, Lease& lease,
                      std::int64_t echo_us, Time now) -> LeaseUpdate {
  lease.expires = now + options_.duration + options_.margin;
  lease.sequence = next_sequence_++;
  lease.unacknowledged.push_back({lease.sequence, lease.allowed});
  return {target, lease.sequence, lease.allowed, echo_us, false};
}

auto SlotOwner::Expire(Time now) -> void {
  for (auto& [id, target] : targets_) {
    std::erase_if(target.leases, [now](const auto& item) {
      return item.second.expires <= now;
    });
  }
  for (auto& [pool, demands] : demands_) {
    std::erase_if(demands, [this, now](const auto& item) {
      return now - item.second.received > options_.demand_lifetime;
    });
  }
}

auto SlotOwner::IsNextSlotForPeer(const PoolId& pool,
                                  const LocalDemand& local) const -> bool {
  const auto* least_served = LeastServedDemand(pool, false);
  if (least_served == nullptr) return false;
  return local.virtual_time >
         least_served->message.virtual_time + options_.threshold;
}

auto SlotOwner::LeastServedDemand(const PoolId& pool, bool headroom) const
    -> const Demand* {
  const auto found = demands_.find(pool);
  if (found == demands_.end()) return nullptr;
  const Demand* best = nullptr;
  for (const auto& [router, demand] : found->second) {
    const auto& wanted = demand.message.wanted;
    if ((headroom ? wanted.headroom : wanted.shared) <= 0) continue;
    if (best != nullptr &&
        best->message.virtual_time <= demand.message.virtual_time) {
      continue;
    }
    best = &demand;
  }
  return best;
}

auto SlotOwner::TargetWithMostFreeSlots(const PoolId& pool, bool headroom)
    -> OwnedTarget* {
  OwnedTarget* best = nullptr;
  int best_free = 0;
  for (auto& [id, target] : targets_) {
    if (target.info.pool != pool) continue;
    const auto free = FreeSlots(target);
    const auto count = headroom ? free.headroom : free.shared;
    if (count <= best_free) continue;
    best = &target;
    best_free = count;
  }
  return best;
}

auto SlotOwner::Observe(const TargetId& target, LatencySample sample) -> void {
  const auto found = targets_.find(target);
  if (found != targets_.end()) found->second.limit.Observe(sample);
}

auto SlotOwner::AdjustLimits(Time now) -> void {
  for (auto& [id, target] : targets_) {
    target.limit.Tick(FreeSlots(target).shared <= 0, now);
  }
}

auto SlotOwner::FreeSlots(const OwnedTarget& target) const -> SlotCounts {
  const auto capacity = target.capacity(options_.headroom_share);
  const auto lent = target.lent();
  return {capacity.shared - target.in_use.shared - lent.shared,
          capacity.headroom - target.in_use.headroom - lent.headroom};
}

auto SlotOwner::FreeSlots(const TargetId& target) const -> SlotCounts {
  const auto found = targets_.find(target);
  return found == targets_.end() ? SlotCounts{} : FreeSlots(found->second);
}

auto SlotOwner::SlotLimits(const TargetId& target) const -> SlotCounts {
  const auto found = targets_.find(target);
  if (found == targets_.end()) return {};
  return found->second.capacity(options_.headroom_share);
}

auto SlotOwner::SlotsInUse(const TargetId& target) const -> SlotCounts {
  const auto found = targets_.find(target);
  return found == targets_.end() ? SlotCounts{} : found->second.in_use;
}

auto SlotOwner::LentSlots(const TargetId& target) const -> SlotCounts {
  const auto found = targets_.find(target);
  return found == targets_.end() ? SlotCounts{} : found->second.lent();
}

auto SlotOwner::OwnedTargets() const -> std::vector<TargetId> {
  std::vector<TargetId> ids;
  for (const auto& [id, target] : targets_) ids.push_back(id);
  return ids;
}

auto SlotOwner::FindPool(const TargetId& target) const -> PoolId {
  const auto found = targets_.find(target);
  return found == targets_.end() ? PoolId() : found->second.info.pool;
}

}  // namespace papayaplank
