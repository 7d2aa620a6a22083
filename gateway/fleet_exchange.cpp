// Roles, sums and recipients of the exchange.
#include "gateway/fleet_exchange.h"

#include <algorithm>

#include "gateway/report_schedule.h"

namespace papayaplank {
namespace {

// Routers of a fleet in which every router reports to every other one.
constexpr std::size_t kLargestMesh = 24;
// More than one, so that the exchange goes on when a hub fails.
constexpr std::size_t kHubsPerDataCenter = 2;
// In ticks. Loads change within the time to the first token, which is two of
// these periods at least.
constexpr std::uint64_t kSummaryPeriod = 2;
// In summaries: period of the rates, and of the list of a data centre.
constexpr std::uint64_t kRatesPeriod = 3;
constexpr std::uint64_t kListPeriod = 5;
// In ticks: period of the rates in reports.
constexpr std::uint64_t kReportRatesPeriod = 3;
// In ticks: how often a silent address gets a report, so that both sides find
// each other again after a network partition.
constexpr std::uint64_t kProbePeriod = 5;
// A hub whose summaries stay away for this long is not relied on.
constexpr Duration kHubTimeout = milliseconds(700);
// How long a hub is remembered as one.
constexpr Duration kHubMemory = seconds(5);
// How long summaries repeat that a router fell silent. The hubs of all data
// centres may change meanwhile.
constexpr Duration kLossRepeatTime = seconds(4);
// A new hub trusts the lists of the former one for this long.
constexpr Duration kTakeoverTime = milliseconds(1500);
constexpr std::size_t kMaxSentReports = 32;
// Sources of the sums that are not a single router.
constexpr char kFleetSource[] = "fleet";

auto DataCenterSource(const DataCenterId& data_center) -> RouterId {
  return RouterId("data centre " + data_center.value());
}

auto Append(std::vector<std::string>& to, const std::vector<std::string>& from,
            std::size_t count) -> void {
  for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
    if (std::find(to.begin(), to.end(), from[i]) == to.end()) {
      to.push_back(from[i]);
    }
  }
}

auto AddLoads(TargetLoads& to, const TargetLoads& from, int sign) -> void {
  std::unordered_map<std::uint32_t, std::size_t> index;
  for (std::size_t i = 0; i < to.size(); ++i) index[to[i].first] = i;
  for (const auto& [target, share] : from) {
    const auto [entry, is_new] = index.try_emplace(target, to.size());
    if (is_new) to.emplace_back(target, LoadShare{});
    auto& sum = to[entry->second].second;
    sum.queued_tokens =
        std::max(0.0, sum.queued_tokens + sign * share.queued_tokens);
    sum.requests = std::max(0, sum.requests + sign * share.requests);
    sum.memory_tokens =
        std::max(0.0, sum.memory_tokens + sign * share.memory_tokens);
  }
}

auto AddRates(FairShare::Rates& to, const FairShare::Rates& from) -> void {
  for (const auto& [customer, rate] : from) {
    auto& sum = to[customer];
    sum.demand += rate.demand;
    sum.served += rate.served;
  }
}

}  // namespace

auto ExchangeRoleName(ExchangeRole role) -> std::string_view {
  switch (role) {
    case ExchangeRole::kMesh:
      return "mesh";
    case ExchangeRole::kHub:
      return "hub";
    case ExchangeRole::kMember:
      return "member";
  }
  return "unknown";
}

auto FleetExchange::Tick(const RouterState& self, Time now) -> void {
  ++tick_;
  self_ = self;
  peers_.DropSilent(now);
  near_.DropSilent(now);
  far_.DropSilent(now);
  if (peers_.ExpectedCount(now) < kLargestMesh) {
    SetRole(ExchangeRole::kMesh, now);
  } else {
    auto hubs = peers_.RankHubs(self.data_center, &self, SilentHubs(now), now);
    hubs.resize(std::min(kHubsPerDataCenter, hubs.size()));
    const auto is_hub =
        std::find(hubs.begin(), hubs.end(), self.peer_address) != hubs.end();
    SetRole(is_hub ? ExchangeRole::kHub : ExchangeRole::kMember, now);
    SetNearHubs(std::move(hubs), now);
  }
  std::erase_if(newest_report_, [this](const auto& entry) {
    return !near_.has_source(entry.first);
  });
  std::erase_if(recent_losses_, [this, now](const auto& loss) {
    return now - loss.first > kLossRepeatTime ||
           peers_.IsLiveRouter(loss.second, now);
  });
  if (role_ != ExchangeRole::kHub) return;
  const auto must_report = now - role_since_ > kTakeoverTime;
  for (auto& router : peers_.TakeSilent(self.data_center, must_report, now)) {
    recent_losses_.emplace_back(now, std::move(router));
  }
}

auto FleetExchange::SetNearHubs(std::vector<std::string> addresses, Time now)
    -> void {
  std::map<HubProcess, Time> hubs;
  auto has_lasting_hub = false;
  for (auto& address : addresses) {
    const auto heard = hubs_.find(address);
    const auto start = heard == hubs_.end() ? 0 : heard->second.started_unix_ms;
    const HubProcess hub(std::move(address), start);
    const auto known = near_hubs_.find(hub);
    const auto since = known == near_hubs_.end() ? now : known->second;
    if (now - since > kTakeoverTime) has_lasting_hub = true;
    if (known == near_hubs_.end()) have_hubs_changed_ = true;
    hubs.emplace(hub, since);
  }
  near_hubs_ = std::move(hubs);
  // Hubs may be replaced one after the other within moments.
  if (has_lasting_hub_ && !has_lasting_hub) has_gap_ = true;
  has_lasting_hub_ = has_lasting_hub;
}

auto FleetExchange::SetRole(ExchangeRole role, Time now) -> void {
  if (role == role_) return;
  if (role == ExchangeRole::kHub) has_gap_ = true;
  // Loads of the same requests must not stand in both sums.
  if (role == ExchangeRole::kMember) {
    near_.Clear();
    newest_report_.clear();
    sent_lists_.clear();
  }
  far_.Clear();
  shares_.ClearPeerRates();
  role_ = role;
  role_since_ = now;
}

auto FleetExchange::ApplyReport(const PeerReport& report, Time now) -> void {
  // A member gets reports only by mistake: the sums of its hub contain them.
  if (role_ == ExchangeRole::kMember) return;
  const auto is_far = report.data_center != self_.data_center;
  if (role_ == ExchangeRole::kHub && is_far) return;
  const auto router = report.router();
  near_.Replace(router, report.loads, now);
  newest_report_[router] = report.sequence;
  if (report.rates) shares_.SetPeerRates(router, *report.rates, now);
}

auto FleetExchange::IsBest(const FleetSummary& summary, Time now) const
    -> bool {
  const auto& address = summary.sender.peer_address;
  return std::none_of(hubs_.begin(), hubs_.end(), [&](const auto& entry) {
    const auto& [other, hub] = entry;
    if (other == address || hub.data_center != summary.sender.data_center) {
      return false;
    }
    if (now - hub.received_at > kHubTimeout) return false;
    return hub.routers > summary.routers ||
           (hub.routers == summary.routers && other < address);
  });
}

auto FleetExchange::ApplySummary(const FleetSummary& summary, Time now)
    -> bool {
  auto& hub = hubs_[summary.sender.peer_address];
  const auto& sender = summary.sender;
  const auto is_older = sender.started_unix_ms < hub.started_unix_ms ||
                        (sender.started_unix_ms == hub.started_unix_ms &&
                         summary.sequence <= hub.sequence);
  if (is_older) return false;
  hub = HubRecord{sender.data_center, sender.started_unix_ms, summary.sequence,
                  summary.routers, now};
  std::erase_if(hubs_, [now](const auto& entry) {
    return now - entry.second.received_at > kHubMemory;
  });
  peers_.ApplyListed(sender, now);
  const auto is_near = sender.data_center == self_.data_center;
  const auto is_for_member =
      summary.scope == FleetSummary::Scope::kFleet && is_near;
  if (role_ != ExchangeRole::kHub && is_for_member) {
    // A router that started early takes the fleet for a small one until then.
    if (role_ == ExchangeRole::kMember) ApplyFleetSums(summary, now);
  } else if (role_ == ExchangeRole::kHub && !is_near &&
             summary.scope == FleetSummary::Scope::kDataCenter) {
    ApplyDataCenterSums(summary, now);
  } else {
    // Lists go from the hub that hears a router to hubs, and from these to
    // members. Any other way, hubs could confirm a silent router to each other.
    // The addresses are news to a router that takes the fleet for a small one.
    if (role_ == ExchangeRole::kMesh) AddListedAddresses(summary, now);
    return true;
  }
  for (const auto& router : summary.lost) {
    if (peers_.MarkLost(router, now) && role_ == ExchangeRole::kHub) {
      recent_losses_.emplace_back(now, router);
    }
  }
  for (const auto& state : summary.listed) peers_.ApplyListed(state, now);
  return true;
}

auto FleetExchange::AddListedAddresses(const FleetSummary& summary, Time now)
    -> void {
  std::vector<PeerSeed> seeds;
  for (const auto& state : summary.listed) {
    seeds.push_back({state.peer_address, state.data_center, state.cores});
  }
  peers_.AddSeeds(seeds, now);
}

auto FleetExchange::WithoutOwn(const FleetSummary& summary) const
    -> TargetLoads {
  auto loads = summary.loads;
  const auto own = RouterHash(self_.router());
  for (const auto& [router, sequence] : summary.included) {
    if (router != own) continue;
    for (const auto& sent : sent_) {
      if (sent.sequence == sequence) AddLoads(loads, sent.loads, -1);
    }
  }
  return loads;
}

auto FleetExchange::ApplyFleetSums(const FleetSummary& summary, Time now)
    -> void {
  if (!IsBest(summary, now)) return;
  const RouterId source(kFleetSource);
  far_.Replace(source, WithoutOwn(summary), now);
  if (!summary.rates) return;
  // The sums contain this router's own rates, which it adds itself.
  auto rates = *summary.rates;
  for (const auto& [customer, own] : shares_.OwnRates(now)) {
    const auto found = rates.find(customer);
    if (found == rates.end()) continue;
    found->second.demand = std::max(0.0, found->second.demand - own.demand);
    found->second.served = std::max(0.0, found->second.served - own.served);
  }
  shares_.SetPeerRates(source, std::move(rates), now);
}

auto FleetExchange::ApplyDataCenterSums(const FleetSummary& summary, Time now)
    -> void {
  if (!IsBest(summary, now)) return;
  const auto source = DataCenterSource(summary.sender.data_center);
  far_.Replace(source, summary.loads, now);
  if (summary.rates) shares_.SetPeerRates(source, *summary.rates, now);
}

auto FleetExchange::HearsHubOf(const DataCenterId& data_center, Time now) const
    -> bool {
  return std::any_of(hubs_.begin(), hubs_.end(), [&](const auto& entry) {
    const auto& hub = entry.second;
    return hub.data_center == data_center &&
           now - hub.received_at <= kHubTimeout;
  });
}

auto FleetExchange::SilentHubs(Time now) const -> std::set<std::string> {
  std::set<std::string> silent;
  for (const auto& [address, hub] : hubs_) {
    if (now - hub.received_at > kHubTimeout) silent.insert(address);
  }
  return silent;
}

auto FleetExchange::is_informed(Time now) const -> bool {
  if (role_ == ExchangeRole::kMember) {
    return HearsHubOf(self_.data_center, now);
  }
  const auto known = peers_.AddressesIn(self_.data_center).size();
  return role_ == ExchangeRole::kMesh || near_.source_count() >= known / 2;
}

auto FleetExchange::CountReaders(Time now) const -> std::size_t {
  return peers_.CountReaders(
      [&](const DataCenterId& data_center) {
        return role_ != ExchangeRole::kHub ||
               data_center == self_.data_center || HearsHubOf(data_center, now);
      },
      now);
}

auto FleetExchange::Others(std::uint32_t target) const -> LoadShare {
  auto sum = near_.Sum(target);
  const auto far = far_.Sum(target);
  sum.queued_tokens += far.queued_tokens;
  sum.requests += far.requests;
  sum.memory_tokens += far.memory_tokens;
  return sum;
}

auto FleetExchange::TakeChanged() -> std::vector<std::uint32_t> {
  auto changed = near_.TakeChanged();
  const auto far = far_.TakeChanged();
  changed.insert(changed.end(), far.begin(), far.end());
  return changed;
}

auto FleetExchange::MeshMessages(PeerReport report) const
    -> std::vector<OutgoingMessage> {
  std::vector<OutgoingMessage> messages(2);
  auto due = DuePeers(peers_.ReportPeers(report.data_center), tick_);
  if (report.is_leaving) {
    // Every peer is informed at once.
    due = {peers_.AllAddresses(), {}};
  }
  auto without_rates = report;
  without_rates.rates.reset();
  messages[0].message = std::move(report);
  messages[0].recipients = std::move(due.with_rates);
  messages[1].message = std::move(without_rates);
  messages[1].recipients = std::move(due.without_rates);
  return messages;
}

auto FleetExchange::ReportRecipients(const RouterState& self, Time now)
    -> std::vector<std::string> {
  std::vector<std::string> recipients;
  const auto& near = self.data_center;
  Append(recipients, peers_.RankHubs(near, &self, SilentHubs(now), now),
         kHubsPerDataCenter);
  const auto known = peers_.AddressesIn(near);
  if (!is_informed(now) && !known.empty()) {
    // The hubs may be gone, or may not know this router.
    Append(recipients, {known[random_.Index(known.size())]}, 1);
    Append(recipients, {known[random_.Index(known.size())]}, 1);
  }
  if (tick_ % kProbePeriod == 0) {
    const auto silent = peers_.SilentAddresses(now);
    if (!silent.empty()) {
      Append(recipients, {silent[random_.Index(silent.size())]}, 1);
    }
  }
  std::erase(recipients, self.peer_address);
  return recipients;
}

auto FleetExchange::MakeSummary(const PeerReport& report,
                                FleetSummary::Scope scope) -> FleetSummary {
  FleetSummary summary;
  summary.sender = report;
  summary.sequence = ++summary_sequence_;
  summary.scope = scope;
  summary.routers = static_cast<int>(near_.source_count()) + 1;
  summary.loads = near_.All();
  AddLoads(summary.loads, report.loads, 1);
  for (const auto& [time, router] : recent_losses_) {
    summary.lost.push_back(router);
  }
  summary.target_updates = report.target_updates;
  return summary;
}

auto FleetExchange::AddLists(const PeerReport& report, FleetSummary& near,
                             FleetSummary& far, Time now) -> void {
  const auto round = tick_ / kSummaryPeriod;
  std::uint64_t index = 0;
  for (const auto& data_center : peers_.DataCenters()) {
    auto states = peers_.LiveStates(data_center, now);
    const auto is_own = data_center == report.data_center;
    if (is_own) states.push_back(report);
    const auto is_due = (round + index++) % kListPeriod == 0;
    auto& sent = sent_lists_[data_center];
    // Changes are sent at once.
    if (!is_due && sent == states) continue;
    near.listed.insert(near.listed.end(), states.begin(), states.end());
    if (is_own) {
      far.listed.insert(far.listed.end(), states.begin(), states.end());
    }
    sent = std::move(states);
  }
}

auto FleetExchange::RemoteHubs(const RouterState& self, Time now)
    -> std::vector<std::string> {
  std::vector<std::string> hubs;
  for (const auto& data_center : peers_.DataCenters()) {
    if (data_center == self.data_center || data_center.value().empty()) {
      continue;
    }
    const auto ranks =
        peers_.RankHubs(data_center, nullptr, SilentHubs(now), now);
    Append(hubs, ranks, kHubsPerDataCenter);
    if (HearsHubOf(data_center, now)) continue;
    // Its hubs may have changed, or the data centre was cut off and returns.
    Append(hubs, ranks, kHubsPerDataCenter * 2);
    const auto known = peers_.AddressesIn(data_center);
    if (!known.empty()) Append(hubs, {known[random_.Index(known.size())]}, 1);
  }
  return hubs;
}

auto FleetExchange::HubMessages(const PeerReport& report, Time now)
    -> std::vector<OutgoingMessage> {
  auto far = MakeSummary(report, FleetSummary::Scope::kDataCenter);
  auto near = MakeSummary(report, FleetSummary::Scope::kFleet);
  AddLoads(near.loads, far_.All(), 1);
  for (const auto& [router, sequence] : newest_report_) {
    near.included.emplace_back(RouterHash(router), sequence);
  }
  if (tick_ / kSummaryPeriod % kRatesPeriod == 0) {
    FairShare::Rates fleet = shares_.OwnRates(now);
    FairShare::Rates own = fleet;
    shares_.ForEachPeer(now, [&](const RouterId& source, const auto& rates) {
      AddRates(fleet, rates);
      if (newest_report_.count(source) != 0) AddRates(own, rates);
    });
    far.rates = std::move(own);
    near.rates = std::move(fleet);
  }
  AddLists(report, near, far, now);
  std::vector<OutgoingMessage> messages(2);
  messages[0].message = std::move(far);
  messages[0].recipients = RemoteHubs(report, now);
  messages[1].message = std::move(near);
  messages[1].recipients = peers_.AddressesIn(report.data_center);
  return messages;
}

auto FleetExchange::EvidenceRecipients(Time now) -> std::vector<std::string> {
  if (role_ == ExchangeRole::kMesh) return peers_.AllAddresses();
  if (role_ == ExchangeRole::kMember) return ReportRecipients(self_, now);
  auto recipients = RemoteHubs(self_, now);
  const auto members = peers_.AddressesIn(self_.data_center);
  Append(recipients, members, members.size());
  return recipients;
}

auto FleetExchange::MakeMessages(PeerReport report, Time now)
    -> std::vector<OutgoingMessage> {
  if (role_ == ExchangeRole::kMesh) return MeshMessages(std::move(report));
  sent_.push_back(SentLoads{report.sequence, report.loads});
  if (sent_.size() > kMaxSentReports) sent_.pop_front();
  std::vector<OutgoingMessage> messages;
  if (role_ == ExchangeRole::kHub && tick_ % kSummaryPeriod == 0) {
    messages = HubMessages(report, now);
  }
  if (tick_ % kReportRatesPeriod != 0) report.rates.reset();
  auto recipients = ReportRecipients(report, now);
  auto& last = messages.emplace_back();
  last.message = std::move(report);
  last.recipients = std::move(recipients);
  return messages;
}

}  // namespace papayaplank
