// Tracks the liveness of peers by their reports and by the lists of hubs.
#include "gateway/peer_table.h"

#include <algorithm>
#include <tuple>

namespace papayaplank {
namespace {

// A router is live for this long after its newest report.
constexpr Duration kLiveFor = milliseconds(1200);
// The same after the newest list of a hub. Hubs list each router every second,
// and name a router that falls silent at once.
constexpr Duration kListedFor = milliseconds(3500);
// A router whose row was found may become a hub for this long before its first
// report, so that routers that start together choose the same ones.
constexpr Duration kUnheardHubTime = milliseconds(1500);
// Routers whose rows this router found at its start count as readers of the
// target list for this long before their first reports.
constexpr Duration kUnheardReaderTime = seconds(2);
// Routers whose rows this router found at its start have reported by then.
constexpr Duration kSettleTime = seconds(7);
// Reports go to a silent address for this long, so that both sides find each
// other again after a network partition.
constexpr Duration kDropAfter = seconds(60);
constexpr Duration kCountPeriod = milliseconds(50);

}  // namespace

auto PeerTable::HasReported(const Peer& peer, Time now) -> bool {
  return peer.reported_at != Time{} && now - peer.reported_at <= kLiveFor;
}

auto PeerTable::IsLive(const Peer& peer, Time now) -> bool {
  const auto is_listed =
      peer.listed_at != Time{} && now - peer.listed_at <= kListedFor;
  return peer.has_state && (is_listed || HasReported(peer, now));
}

auto PeerTable::FindOrAdd(const std::string& address, Time now) -> Peer& {
  const auto [entry, is_new] = peers_.try_emplace(address);
  auto& peer = entry->second;
  if (is_new) peer.first_named_at = now;
  peer.last_named_at = now;
  return peer;
}

auto PeerTable::AddSeeds(const std::vector<PeerSeed>& seeds, Time now) -> void {
  if (seeded_at_ == Time{}) seeded_at_ = now;
  for (const auto& seed : seeds) {
    if (seed.peer_address == self_address_) continue;
    auto& peer = FindOrAdd(seed.peer_address, now);
    if (peer.has_state) continue;
    peer.state.peer_address = seed.peer_address;
    peer.state.data_center = seed.data_center;
    peer.state.cores = seed.cores;
  }
}

auto PeerTable::ApplyReport(const RouterState& state, std::uint64_t sequence,
                            Time now) -> bool {
  if (state.peer_address == self_address_) return false;
  auto& peer = FindOrAdd(state.peer_address, now);
  const auto& known = peer.state;
  if (peer.has_state) {
    const auto is_older = state.started_unix_ms < known.started_unix_ms ||
                          (state.started_unix_ms == known.started_unix_ms &&
                           sequence <= peer.sequence);
    if (is_older) return false;
  }
  peer.state = state;
  peer.sequence = sequence;
  peer.reported_at = now;
  peer.has_state = true;
  peer.is_known_live = true;
  return true;
}

auto PeerTable::ApplyListed(const RouterState& state, Time now) -> void {
  if (state.peer_address == self_address_) return;
  auto& peer = FindOrAdd(state.peer_address, now);
  if (peer.has_state && state.started_unix_ms < peer.state.started_unix_ms) {
    return;
  }
  const auto is_same_process =
      peer.has_state && state.started_unix_ms == peer.state.started_unix_ms;
  if (!is_same_process) {
    peer.sequence = 0;
    peer.reported_at = Time{};
  }
  // A leaving router does not return, so an older list changes nothing.
  if (!(is_same_process && peer.state.is_leaving) && !HasReported(peer, now)) {
    peer.state = state;
  }
  peer.has_state = true;
  peer.listed_at = now;
  peer.is_known_live = true;
}

auto PeerTable::MarkLost(const RouterId& router, Time now) -> bool {
  const auto address = router.value().substr(0, router.value().find('#'));
  const auto found = peers_.find(address);
  if (found == peers_.end() || found->second.state.router() != router) {
    return false;
  }
  auto& peer = found->second;
  if (HasReported(peer, now) || !IsLive(peer, now)) return false;
  peer.listed_at = Time{};
  peer.is_known_live = false;
  return true;
}

auto PeerTable::IsLiveRouter(const RouterId& router, Time now) const -> bool {
  const auto address = router.value().substr(0, router.value().find('#'));
  const auto found = peers_.find(address);
  return found != peers_.end() && IsLive(found->second, now) &&
         found->second.state.router() == router;
}

auto PeerTable::HasLeft(const std::string& address, Time now) const -> bool {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.has_state &&
         found->second.state.is_leaving && !IsLive(found->second, now);
}

auto PeerTable::DropSilent(Time now) -> void {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.last_named_at > kDropAfter;
  });
}

auto PeerTable::TakeSilent(const DataCenterId& data_center, bool must_report,
                           Time now) -> std::vector<RouterId> {
  std::vector<RouterId> silent;
  for (auto& [address, peer] : peers_) {
    if (!peer.is_known_live || peer.state.data_center != data_center) continue;
    if (must_report && !HasReported(peer, now)) peer.listed_at = Time{};
    if (IsLive(peer, now)) continue;
    peer.is_known_live = false;
    silent.push_back(peer.state.router());
  }
  return silent;
}

auto PeerTable::ServingRouters(Time now) const -> std::vector<ServingRouter> {
  std::vector<ServingRouter> routers;
  for (const auto& [address, peer] : peers_) {
    const auto& state = peer.state;
    if (!IsLive(peer, now) || state.is_leaving || !state.is_ready) continue;
    routers.push_back({state.caller_address, state.data_center,
                       state.diverts_callers, state.cores});
  }
  return routers;
}

auto PeerTable::LiveCount(Time now) const -> std::size_t {
  // Counted again at most every `kCountPeriod`, as each request asks for it.
  const auto is_valid = counted_peers_ == peers_.size() && now >= counted_at_ &&
                        now - counted_at_ < kCountPeriod;
  if (is_valid && counted_at_ != Time{}) return live_count_;
  live_count_ = static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [now](const auto& entry) { return IsLive(entry.second, now); }));
  counted_at_ = now;
  counted_peers_ = peers_.size();
  return live_count_;
}

auto PeerTable::ExpectedCount(Time now) const -> std::size_t {
  if (!is_settled(now)) return peers_.size();
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [](const auto& entry) { return entry.second.has_state; }));
}

auto PeerTable::CountReaders(
    const std::function<bool(const DataCenterId&)>& is_heard, Time now) const
    -> std::size_t {
  const auto counts_unheard = now - seeded_at_ <= kUnheardReaderTime;
  std::map<DataCenterId, bool> heard;
  std::size_t count = 0;
  for (const auto& [address, peer] : peers_) {
    const auto& state = peer.state;
    const auto is_reader = peer.has_state
                               ? IsLive(peer, now) && !state.is_store_failing
                               : counts_unheard;
    if (!is_reader) continue;
    const auto [entry, is_new] = heard.try_emplace(state.data_center);
    if (is_new) entry->second = is_heard(state.data_center);
    if (entry->second) ++count;
  }
  return count;
}

auto PeerTable::is_settled(Time now) const -> bool {
  return now - seeded_at_ > kSettleTime;
}

auto PeerTable::LivePeers(Time now) const -> std::vector<LivePeer> {
  std::vector<LivePeer> live;
  for (const auto& [address, peer] : peers_) {
    if (!IsLive(peer, now)) continue;
    live.push_back({peer.state.router(), address, peer.state.is_store_failing});
  }
  return live;
}

auto PeerTable::LiveIssuers(Time now) const -> PermitIssuers {
  PermitIssuers issuers;
  for (const auto& [address, peer] : peers_) {
    if (!peer.state.issues_permits || !IsLive(peer, now)) continue;
    ++issuers.count;
    if (!peer.state.is_leaving) issuers.owners.push_back(address);
  }
  return issuers;
}

auto PeerTable::LiveStates(const DataCenterId& data_center, Time now) const
    -> std::vector<RouterState> {
  std::vector<RouterState> states;
  for (const auto& [address, peer] : peers_) {
    if (peer.state.data_center != data_center || !IsLive(peer, now)) continue;
    states.push_back(peer.state);
  }
  return states;
}

auto PeerTable::ReportPeers(const DataCenterId& data_center) const
    -> std::vector<ReportPeer> {
  std::vector<ReportPeer> all;
  for (const auto& [address, peer] : peers_) {
    const auto is_near =
        peer.has_state && peer.state.data_center == data_center;
    all.push_back(ReportPeer{address, is_near});
  }
  return all;
}

auto PeerTable::AllAddresses() const -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) addresses.push_back(address);
  return addresses;
}

auto PeerTable::AddressesIn(const DataCenterId& data_center) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (peer.state.data_center == data_center) addresses.push_back(address);
  }
  return addresses;
}

auto PeerTable::SilentAddresses(Time now) const -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (!IsLive(peer, now)) addresses.push_back(address);
  }
  return addresses;
}

auto PeerTable::DataCenters() const -> std::set<DataCenterId> {
  std::set<DataCenterId> all;
  for (const auto& [address, peer] : peers_) {
    all.insert(peer.state.data_center);
  }
  return all;
}

auto PeerTable::RankHubs(const DataCenterId& data_center,
                         const RouterState* self,
                         const std::set<std::string>& silent, Time now) const
    -> std::vector<std::string> {
  // Large instances first, as a hub gets the reports of its data centre.
  using Rank = std::tuple<double, std::uint64_t, std::string>;
  std::vector<Rank> ranks;
  const auto add = [&ranks](const RouterState& state) {
    ranks.emplace_back(-state.cores, StableHash(state.peer_address),
                       state.peer_address);
  };
  for (const auto& [address, peer] : peers_) {
    if (peer.state.data_center != data_center || peer.state.is_leaving) {
      continue;
    }
    if (silent.count(address) != 0) continue;
    const auto is_unheard =
        !peer.has_state && now - peer.first_named_at <= kUnheardHubTime;
    if (is_unheard || IsLive(peer, now)) add(peer.state);
  }
  if (self != nullptr && self->data_center == data_center &&
      !self->is_leaving) {
    add(*self);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> addresses;
  for (auto& rank : ranks) addresses.push_back(std::move(std::get<2>(rank)));
  return addresses;
}

auto PeerTable::NewestVersion(Time now) const -> std::uint64_t {
  std::uint64_t newest = 0;
  for (const auto& [address, peer] : peers_) {
    if (!IsLive(peer, now)) continue;
    newest = std::max(newest, peer.state.config_version);
  }
  return newest;
}

auto PeerTable::HasContinuousPeer(Time now) const -> bool {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& peer = entry.second;
    return IsLive(peer, now) && peer.state.is_store_continuous;
  });
}

auto PeerTable::LiveAddresses(Time now) const -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now)) addresses.push_back(address);
  }
  return addresses;
}

auto PeerTable::AddressesWithNewerVersion(std::uint64_t version,
                                          const DataCenterId* data_center,
                                          Time now) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    const auto& state = peer.state;
    if (state.config_version <= version || !IsLive(peer, now)) continue;
    if (data_center != nullptr && state.data_center != *data_center) continue;
    addresses.push_back(address);
  }
  return addresses;
}

}  // namespace papayaplank
