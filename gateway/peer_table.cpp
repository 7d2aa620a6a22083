// Tracks the liveness of peers by their reports.
#include "gateway/peer_table.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A router is live for this long after its newest report: three of the longest
// report periods.
constexpr Duration kLiveFor = milliseconds(1200);
// Reports go to a silent address for this long, so that both sides find each
// other again after a network partition.
constexpr Duration kDropAfter = seconds(60);

}  // namespace

auto PeerTable::AddSeeds(const std::vector<PeerSeed>& seeds, Time now) -> void {
  for (const auto& seed : seeds) {
    if (seed.peer_address == self_address_) continue;
    auto& peer = peers_[seed.peer_address];
    peer.last_named_at = now;
  }
}

auto PeerTable::ApplyReport(const PeerReport& report, Time now) -> bool {
  if (report.peer_address == self_address_) return false;
  auto& peer = peers_[report.peer_address];
  const auto& known = peer.report;
  if (peer.has_reported) {
    const auto is_older = report.started_unix_ms < known.started_unix_ms ||
                          (report.started_unix_ms == known.started_unix_ms &&
                           report.sequence <= known.sequence);
    if (is_older) return false;
  }
  peer.report = report;
  peer.report.loads.clear();
  peer.report.rates.reset();
  peer.report.target_updates.clear();
  peer.reported_at = now;
  peer.last_named_at = now;
  peer.has_reported = true;
  return true;
}

auto PeerTable::PeersToReportTo(const DataCenterId& data_center, Time now)
    -> std::vector<ReportPeer> {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.last_named_at > kDropAfter;
  });
  std::vector<ReportPeer> all;
  for (const auto& [address, peer] : peers_) {
    const auto is_near =
        peer.has_reported && peer.report.data_center == data_center;
    all.push_back(ReportPeer{address, is_near});
  }
  return all;
}

auto PeerTable::IsLive(const Peer& peer, Time now) const -> bool {
  return peer.has_reported && now - peer.reported_at <= kLiveFor;
}

auto PeerTable::ServingRouters(Time now) const -> std::vector<ServingRouter> {
  std::vector<ServingRouter> routers;
  for (const auto& [address, peer] : peers_) {
    const auto& report = peer.report;
    if (!IsLive(peer, now) || report.is_leaving || !report.is_ready) continue;
    routers.push_back(
        {report.caller_address, report.data_center, report.diverts_callers});
  }
  return routers;
}

auto PeerTable::LiveCount(Time now) const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now)) ++count;
  }
  return count;
}

auto PeerTable::LivePeers(Time now) const -> std::vector<LivePeer> {
  std::vector<LivePeer> live;
  for (const auto& [address, peer] : peers_) {
    if (!IsLive(peer, now)) continue;
    live.push_back(
        {peer.report.router(), address, peer.report.is_store_failing});
  }
  return live;
}

auto PeerTable::HasContinuousPeer(Time now) const -> bool {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& peer = entry.second;
    return IsLive(peer, now) && peer.report.is_store_continuous;
  });
}

auto PeerTable::LiveAddresses(Time now) const -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now)) addresses.push_back(address);
  }
  return addresses;
}

auto PeerTable::AddressesWithNewerVersion(std::uint64_t version, Time now) const
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& [address, peer] : peers_) {
    if (IsLive(peer, now) && peer.report.config_version > version) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace papayaplank
