// Use, reports and expiry of held leases.
#include "capacity/slot_borrower.h"

#include <algorithm>

namespace papayaplank {
namespace {

auto ToMicroseconds(Time time) -> std::int64_t {
  return time.time_since_epoch().count();
}

// Slots to keep: those in use and one for each waiting request.
auto KeptSlots(SlotCounts allowed, SlotCounts busy, WaitingWork waiting)
    -> SlotCounts {
  const auto shared = std::min(allowed.shared, busy.shared + waiting.total);
  const auto headroom =
      std::min(allowed.headroom, busy.headroom + waiting.interactive);
  return {std::max(busy.shared, shared), std::max(busy.headroom, headroom)};
}

}  // namespace

SlotBorrower::SlotBorrower(RouterId self, LeaseOptions options)
    : self_(std::move(self)), options_(options) {}

auto SlotBorrower::Handle(const RouterId& owner, const LeaseUpdate& update,
                          Time now) -> void {
  const auto is_known = leases_.count(update.target) != 0;
  if (!is_known && update.allowed.total() == 0) return;
  auto& lease = leases_[update.target];
  const auto is_same_owner = lease.owner == owner;
  if (is_same_owner && update.sequence <= lease.sequence) return;
  lease.allowed = update.allowed;
  lease.owner = owner;
  lease.sequence = update.sequence;
  // The owner granted the lease after this router sent the message that the
  // update answers; `echo_us` is that send time by this router's clock.
  const auto granted_after = Time(Duration(update.echo_us));
  lease.usable_until =
      std::max(is_same_owner ? lease.usable_until : Time(),
               granted_after + options_.duration - options_.margin);
  lease.answered_at = now;
  lease.counted_by_owner =
      std::max(lease.counted_by_owner, update.allowed.shared);
  lease.is_ended = update.is_over && lease.busy.total() == 0;
}

auto SlotBorrower::TryAcquire(const TargetId& target, bool headroom, Time now)
    -> bool {
  const auto free = FreeSlots(target, now);
  if ((headroom ? free.headroom : free.shared) <= 0) return false;
  auto& busy = leases_[target].busy;
  ++(headroom ? busy.headroom : busy.shared);
  return true;
}

auto SlotBorrower::Release(const TargetId& target, bool headroom) -> void {
  const auto found = leases_.find(target);
  if (found == leases_.end()) return;
  auto& busy = found->second.busy;
  auto& count = headroom ? busy.headroom : busy.shared;
  count = std::max(0, count - 1);
  found->second.has_released = true;
}

auto SlotBorrower::Report(
    const std::function<WaitingWork(const TargetId&)>& waiting_for,
    bool only_returns, Time now) -> std::vector<AddressedReport> {
  std::map<RouterId, LeaseReport> reports;
  for (auto it = leases_.begin(); it != leases_.end();) {
    auto& [target, lease] = *it;
    const auto is_idle = lease.busy.total() == 0;
    if (is_idle && now >= lease.usable_until) {
      it = leases_.erase(it);
      continue;
    }
    ++it;
    if (lease.is_ended) continue;
    if (only_returns && !lease.has_released) continue;
    lease.has_released = false;
    const auto waiting = waiting_for(target);
    const auto kept = KeptSlots(lease.allowed, lease.busy, waiting);
    // If released slots are in use again, the next regular report suffices.
    if (only_returns && kept.shared >= lease.counted_by_owner) continue;
    lease.allowed = ElementwiseMin(lease.allowed, kept);
    lease.counted_by_owner = kept.shared;
    auto& report = reports[lease.owner];
    report.router = self_;
    report.sent_at_us = ToMicroseconds(now);
    report.leases.push_back({target, kept, lease.busy, waiting.virtual_time,
                             waiting.total > 0, lease.sequence});
  }
  std::vector<AddressedReport> result;
  for (auto& [owner, report] : reports) {
    result.push_back({owner, std::move(report)});
  }
  return result;
}

auto SlotBorrower::SetOwner(const TargetId& target, const RouterId& owner)
    -> void {
  const auto found = leases_.find(target);
  if (found == leases_.end() || found->second.owner == owner) return;
  // The new owner counts only the requests in progress, and its updates
  // have numbers of their own.
  found->second.owner = owner;
  found->second.sequence = 0;
  found->second.allowed = found->second.busy;
}

auto SlotBorrower::EndLease(const TargetId& target) -> SlotCounts {
  const auto busy = BusySlots(target);
  leases_.erase(target);
  return busy;
}

auto SlotBorrower::AdoptLease(const TargetId& target, const RouterId& owner,
                              SlotCounts busy) -> void {
  if (busy.total() == 0) return;
  auto& lease = leases_[target];
  lease.owner = owner;
  lease.sequence = 0;
  lease.allowed = busy;
  lease.busy = busy;
}

auto SlotBorrower::ExpireAll() -> void {
  for (auto& [target, lease] : leases_) lease.usable_until = Time();
}

auto SlotBorrower::FreeSlots(const TargetId& target, Time now) const
    -> SlotCounts {
  const auto found = leases_.find(target);
  if (found == leases_.end() || now >= found->second.usable_until) return {};
  const auto& lease = found->second;
  return {std::max(0, lease.allowed.shared - lease.busy.shared),
          std::max(0, lease.allowed.headroom - lease.busy.headroom)};
}

auto SlotBorrower::BusySlots(const TargetId& target) const -> SlotCounts {
  const auto found = leases_.find(target);
  return found == leases_.end() ? SlotCounts{} : found->second.busy;
}

auto SlotBorrower::Targets() const -> std::vector<TargetId> {
  std::vector<TargetId> targets;
  for (const auto& [target, lease] : leases_) targets.push_back(target);
  return targets;
}

auto SlotBorrower::UnresponsiveOwners(Time since) const
    -> std::vector<RouterId> {
  std::vector<RouterId> owners;
  for (const auto& [target, lease] : leases_) {
    if (lease.answered_at < since) owners.push_back(lease.owner);
  }
  return owners;
}

}  // namespace papayaplank
