// Communication with other routers: membership, slot lending, gossip of pool
// summaries, and accounts.
#include <algorithm>
#include <utility>

#include "router/router_core.h"

namespace papayaplank {
namespace {

// Summaries older than this no longer count for the virtual time of the fleet.
constexpr Duration kSummaryLifetime = seconds(10);
// Least time between two fetches of the configuration.
constexpr Duration kFetchPeriod = seconds(1);
// A demand for slots goes to this many owners, and asks each for at most
// `kMaxWanted` slots of a kind.
constexpr std::size_t kOwnersPerDemand = 3;
constexpr int kMaxWanted = 64;
constexpr std::size_t kHomeRoutersPerCustomer = 2;

}  // namespace

auto RouterCore::HandleInput(const PeerMessageReceived& message, Time now)
    -> void {
  std::visit(
      [&](const auto& body) { HandlePeerMessage(message.from, body, now); },
      message.message);
}

auto RouterCore::HandlePeerMessage(const std::string& from, const Ping& ping,
                                   Time now) -> void {
  SendMembership(members_.Handle(ping, from, now));
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/, const Ack& ack,
                                   Time now) -> void {
  SendMembership(members_.Handle(ack, now));
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const SlotDemand& demand, Time now) -> void {
  owner_.Handle(demand, now);
  DispatchWaiting(demand.pool, now);
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const LeaseUpdates& updates, Time now)
    -> void {
  std::set<PoolId> pools;
  for (const auto& update : updates.updates) {
    const auto* target = fleet_.FindTarget(update.target);
    if (target == nullptr) continue;
    // Only the present owner may grant; updates of a former one are too late.
    if (fleet_.TargetOwner(update.target) != updates.owner) continue;
    borrower_.Handle(updates.owner, update, now);
    pools.insert(target->pool);
  }
  for (const auto& pool : pools) DispatchWaiting(pool, now);
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const LeaseReport& report, Time now)
    -> void {
  std::set<PoolId> pools;
  for (const auto& held : report.leases) {
    if (owner_.IsOwned(held.target)) pools.insert(owner_.FindPool(held.target));
  }
  std::vector<AddressedUpdate> updates;
  for (const auto& pool : pools) {
    auto more =
        owner_.Handle(report, MakeLocalDemand(FindOrAddPool(pool)), pool, now);
    updates.insert(updates.end(), more.begin(), more.end());
  }
  SendUpdates(std::move(updates));
  for (const auto& pool : pools) DispatchWaiting(pool, now);
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const StateGossip& gossip, Time now)
    -> void {
  for (const auto& summary : gossip.summaries) {
    if (summary.router == members_.self().id) continue;
    if (members_.Find(summary.router) == nullptr) continue;
    auto& known = summaries_[{summary.pool, summary.router}];
    if (known.summary.sequence >= summary.sequence) continue;
    known = {summary, now};
  }
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const AccountReport& report, Time /*now*/)
    -> void {
  std::vector<RemoteCharge> charges;
  SendTo(report.router, accounts_.Handle(report, charges));
  ChargeRemote(charges);
}

auto RouterCore::HandlePeerMessage(const std::string& /*from*/,
                                   const AccountReply& reply, Time /*now*/)
    -> void {
  ChargeRemote(accounts_.Handle(reply));
}

auto RouterCore::ChargeRemote(const std::vector<RemoteCharge>& charges)
    -> void {
  for (const auto& charge : charges) {
    FindOrAddPool(charge.pool)
        .queue.Charge(charge.customer, charge.weight, charge.cost);
  }
}

auto RouterCore::HandleInput(const InstanceListReceived& message, Time now)
    -> void {
  fleet_.SetTargets(message.targets);
  members_.SetSeeds(message.gossip_addresses);
  RefreshOwnership();
  for (auto& [id, pool] : pools_) DispatchWaiting(id, now);
}

auto RouterCore::HandleInput(const TargetLeaving& message, Time /*now*/)
    -> void {
  fleet_.MarkLeaving(message.target);
  affinity_.RemoveTarget(message.target);
  RefreshOwnership();
}

auto RouterCore::HandleInput(const CacheChanged& message, Time /*now*/)
    -> void {
  for (const auto& prefix : message.stored) {
    affinity_.RecordStored(prefix, message.target);
  }
  for (const auto& prefix : message.evicted) {
    affinity_.RecordEvicted(prefix, message.target);
  }
}

auto RouterCore::HandleInput(const ConfigApplied& message, Time /*now*/)
    -> void {
  version_ = std::max(version_, message.version);
  members_.SetConfigVersion(version_);
}

auto RouterCore::HandleInput(const StopRequested& message, Time now) -> void {
  if (stop_) return;
  stop_ = message;
  SendMembership(members_.Leave(now));
  RefreshOwnership();
}

auto RouterCore::HandleInput(const StopOver& /*message*/, Time /*now*/)
    -> void {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) open.push_back(id);
  for (const auto& id : open) {
    auto& request = requests_.at(id);
    if (request.stage == Stage::kRunning) {
      request.ran = std::max(request.ran, Ran::kUnknown);
      commands_.push_back(CancelAttempt{id, request.attempts});
      ReleaseSlot(request);
    } else if (request.stage == Stage::kWaiting) {
      FindOrAddPool(request.arrival.pool).queue.Remove(id);
    }
    Fail(request, FailReason::kStopped, {});
  }
}

auto RouterCore::SendTo(const RouterId& router, PeerMessage message) -> void {
  const auto* member = members_.Find(router);
  if (member == nullptr) return;
  ++counters_.peer_messages_sent;
  commands_.push_back(
      SendPeerMessage{member->gossip_address, std::move(message)});
}

auto RouterCore::SendMembership(MemberList::Messages messages) -> void {
  for (auto& message : messages) {
    ++counters_.peer_messages_sent;
    auto body =
        std::visit([](auto& each) -> PeerMessage { return std::move(each); },
                   message.body);
    commands_.push_back(
        SendPeerMessage{std::move(message.address), std::move(body)});
  }
}

auto RouterCore::SendUpdates(std::vector<AddressedUpdate> updates) -> void {
  std::map<RouterId, LeaseUpdates> by_borrower;
  for (auto& each : updates) {
    auto& message = by_borrower[each.borrower];
    message.owner = members_.self().id;
    message.updates.push_back(std::move(each.update));
  }
  counters_.slot_updates_sent += updates.size();
  for (auto& [borrower, message] : by_borrower) {
    SendTo(borrower, std::move(message));
  }
}

auto RouterCore::RefreshOwnership() -> void {
  const auto change = fleet_.Refresh(members_);
  for (const auto& id : change.owned) {
    const auto was_owned = owner_.IsOwned(id);
    owner_.AddTarget(*fleet_.FindTarget(id));
    if (was_owned) continue;
    owner_.AddSlotsInUse(id, borrower_.EndLease(id));
    SetRunningSlotOwnership(id, true);
  }
  for (const auto& id : change.lost) {
    borrower_.AdoptLease(id, fleet_.TargetOwner(id), owner_.SlotsInUse(id));
    owner_.RemoveTarget(id);
    SetRunningSlotOwnership(id, false);
  }
  for (const auto& id : change.removed) {
    owner_.RemoveTarget(id);
    health_.RemoveTarget(id);
    affinity_.RemoveTarget(id);
  }
  for (const auto& id : borrower_.Targets()) {
    const auto owner = fleet_.TargetOwner(id);
    if (!owner.is_empty()) borrower_.SetOwner(id, owner);
  }
}

auto RouterCore::SetRunningSlotOwnership(const TargetId& target,
                                         bool is_own_slot) -> void {
  for (auto& [id, request] : requests_) {
    if (request.stage != Stage::kRunning) continue;
    if (request.target == target) request.is_own_slot = is_own_slot;
  }
}

auto RouterCore::DropDeadRouters() -> void {
  if (members_.generation() == seen_generation_) return;
  seen_generation_ = members_.generation();
  std::set<RouterId> live;
  for (const auto& member : members_.LiveMembers()) live.insert(member.id);
  for (const auto& router : known_routers_) {
    if (live.count(router) != 0) continue;
    owner_.DropBorrower(router);
    accounts_.RemoveRouter(router);
    std::erase_if(summaries_, [&router](const auto& item) {
      return item.first.second == router;
    });
  }
  known_routers_ = std::move(live);
}

auto RouterCore::SendDemands(Time now) -> void {
  for (auto& [id, pool] : pools_) {
    if (!pool.queue.HasWork(false)) continue;
    if (now < pool.next_demand) continue;
    pool.next_demand = now + options_.lease.demand_period;
    const auto owners = fleet_.OtherPoolOwners(id);
    if (owners.empty()) continue;
    pool.has_sent_demand = true;
    const auto asked = std::min(kOwnersPerDemand, owners.size());
    const auto backlog = pool.queue.backlog();
    const auto share = [asked](int count) {
      const auto parts = static_cast<int>(asked);
      return std::min(kMaxWanted, (count + parts - 1) / parts);
    };
    SlotDemand demand;
    demand.router = members_.self().id;
    demand.pool = id;
    demand.wanted = {share(backlog.total()), share(backlog.interactive)};
    demand.virtual_time = pool.queue.virtual_time();
    demand.backlog_weight = backlog.weight;
    demand.mean_estimate = Cost{pool.mean_estimate};
    demand.sent_at_us = now.time_since_epoch().count();
    for (std::size_t i = 0; i < asked; ++i) {
      SendTo(owners[pool.next_owner++ % owners.size()], demand);
    }
  }
}

auto RouterCore::WithdrawDemand(const PoolId& pool_id, Pool& pool, Time now)
    -> void {
  if (!pool.has_sent_demand) return;
  pool.has_sent_demand = false;
  pool.next_demand = now;
  SlotDemand demand;
  demand.router = members_.self().id;
  demand.pool = pool_id;
  demand.sent_at_us = now.time_since_epoch().count();
  for (const auto& owner : fleet_.OtherPoolOwners(pool_id)) {
    SendTo(owner, demand);
  }
}

auto RouterCore::SendReports(Time now) -> void {
  const auto is_due = now >= next_report_;
  if (is_due) next_report_ = now + options_.lease.renew_period;
  const auto waiting_for = [this](const TargetId& id) {
    WaitingWork result;
    const auto* target = fleet_.FindTarget(id);
    if (target == nullptr) return result;
    const auto found = pools_.find(target->pool);
    if (found == pools_.end()) return result;
    const auto backlog = found->second.queue.backlog();
    result.virtual_time = found->second.queue.virtual_time();
    result.interactive = backlog.interactive;
    result.total = backlog.total();
    return result;
  };
  for (auto& each : borrower_.Report(waiting_for, !is_due, now)) {
    SendTo(each.owner, std::move(each.report));
  }
  const auto max_silence = options_.lease.duration;
  for (const auto& owner : borrower_.UnresponsiveOwners(now - max_silence)) {
    members_.Suspect(owner, now);
  }
}

auto RouterCore::SendGossip(Time now) -> void {
  if (now < next_gossip_) return;
  next_gossip_ = now + options_.gossip_period;
  StateGossip gossip;
  ++summary_sequence_;
  for (const auto& [id, pool] : pools_) {
    PoolSummary summary;
    summary.router = members_.self().id;
    summary.pool = id;
    summary.sequence = summary_sequence_;
    summary.virtual_time = pool.queue.virtual_time();
    summary.backlog_weight = pool.queue.backlog().weight;
    for (const auto& target : fleet_.PoolTargets(id)) {
      summary.free_slots += std::max(0, owner_.FreeSlots(target).shared);
    }
    gossip.summaries.push_back(std::move(summary));
  }
  std::vector<const ReceivedSummary*> known;
  for (const auto& [key, each] : summaries_) known.push_back(&each);
  std::sort(known.begin(), known.end(), [](const auto* a, const auto* b) {
    return a->received_at > b->received_at;
  });
  for (const auto* each : known) {
    if (gossip.summaries.size() >= options_.summaries_per_gossip) break;
    gossip.summaries.push_back(each->summary);
  }
  if (gossip.summaries.empty()) return;
  auto peers = members_.LiveMembers();
  std::erase_if(peers, [this](const Member& member) {
    return member.id == members_.self().id;
  });
  for (std::size_t i = 0; i < options_.gossip_peers && !peers.empty(); ++i) {
    const auto index = random_.Index(peers.size());
    SendTo(peers[index].id, gossip);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

auto RouterCore::SendAccounts(Time now) -> void {
  if (now < next_accounts_) return;
  next_accounts_ = now + options_.account_period;
  const auto active = members_.ActiveMembers();
  const auto find_coordinator = [this, &active](const CustomerId& customer) {
    const auto routers = ChooseHomeRouters(customer, DataCenterId(), 1, active);
    return routers.empty() ? members_.self().id : routers.front().id;
  };
  for (auto& each :
       accounts_.MakeReports(find_coordinator, options_.accounts_per_period)) {
    SendTo(each.coordinator, std::move(each.report));
  }
}

auto RouterCore::FollowFleetVirtualTime(const PoolId& pool_id, Pool& pool)
    -> void {
  if (options_.mode != SharingMode::kFleet) return;
  std::optional<VirtualTime> highest;
  auto it = summaries_.lower_bound({pool_id, RouterId()});
  for (; it != summaries_.end() && it->first.first == pool_id; ++it) {
    const auto& known = it->second;
    if (known.summary.backlog_weight <= 0) continue;
    if (last_tick_ - known.received_at > kSummaryLifetime) continue;
    highest =
        std::max(highest.value_or(VirtualTime{}), known.summary.virtual_time);
  }
  if (highest) pool.queue.AdvanceVirtualTime(*highest);
}

auto RouterCore::HandlePause(Time now) -> void {
  const auto was_paused =
      last_tick_ != Time() && now - last_tick_ > options_.pause_limit;
  last_tick_ = std::max(last_tick_, now);
  if (!was_paused) return;
  ++counters_.pauses;
  borrower_.ExpireAll();
}

auto RouterCore::FetchNewerConfig() -> void {
  if (last_tick_ < next_fetch_) return;
  const Member* newest = nullptr;
  const auto members = members_.LiveMembers();
  for (const auto& member : members) {
    if (member.config_version <= version_) continue;
    const auto is_newer =
        newest == nullptr || member.config_version > newest->config_version;
    if (is_newer) newest = &member;
  }
  if (newest == nullptr) return;
  next_fetch_ = last_tick_ + kFetchPeriod;
  commands_.push_back(
      FetchConfiguration{newest->config_version, newest->peer_address});
}

auto RouterCore::HomeRouters(const CustomerId& customer,
                             const DataCenterId& data_center) const
    -> std::vector<Member> {
  return ChooseHomeRouters(customer, data_center, kHomeRoutersPerCustomer,
                           members_.ActiveMembers());
}

auto RouterCore::Members() const -> std::vector<Member> {
  return members_.LiveMembers();
}

auto RouterCore::Pools() const -> std::vector<PoolStatus> {
  std::vector<PoolStatus> result;
  for (const auto& [id, pool] : pools_) {
    PoolStatus status{
        id, pool.queue.backlog(), pool.queue.virtual_time(), pool.running, 0,
        0};
    for (const auto& target : fleet_.PoolTargets(id)) {
      if (!owner_.IsOwned(target)) continue;
      ++status.owned_targets;
      status.free_slots += std::max(0, owner_.FreeSlots(target).shared);
    }
    result.push_back(std::move(status));
  }
  return result;
}

auto RouterCore::Targets() const -> std::vector<TargetInfo> {
  std::vector<TargetInfo> result;
  for (const auto& [id, target] : fleet_.targets()) result.push_back(target);
  return result;
}

auto RouterCore::SlotLimits(const TargetId& target) const -> SlotCounts {
  return owner_.SlotLimits(target);
}

auto RouterCore::TargetOwner(const TargetId& target) const -> RouterId {
  return fleet_.TargetOwner(target);
}

auto RouterCore::CustomerVirtualTime(const CustomerId& customer,
                                     const PoolId& pool) const -> VirtualTime {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) return {};
  return found->second.queue.CustomerVirtualTime(customer);
}

}  // namespace papayaplank
