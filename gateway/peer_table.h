// The other routers, known from rows in the store, from their reports, and from
// the lists of hubs.
#ifndef GATEWAY_PEER_TABLE_H_
#define GATEWAY_PEER_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/report_schedule.h"
#include "gateway/router_state.h"

namespace papayaplank {

// A router's row in the store; it may not have reported yet.
struct PeerSeed {
  std::string peer_address;
  // Empty if the row does not state it.
  DataCenterId data_center{};
  double cores = 1;
};

// A router that callers may be directed to.
struct ServingRouter {
  std::string caller_address;
  DataCenterId data_center;
  bool diverts_callers = false;
  double cores = 1;
};

// A router that reported lately.
struct LivePeer {
  RouterId router;
  std::string peer_address;
  bool is_store_failing = false;
};

// Live routers that issue permits.
struct PermitIssuers {
  // Addresses of those that are not leaving.
  std::vector<std::string> owners;
  // Number of all.
  std::size_t count = 0;
};

// Routers by the address of their peer socket. A router is live if it reported
// lately, or if a hub that hears it listed it lately.
class PeerTable {
 public:
  // `self_address` is this router's own; it is never added.
  explicit PeerTable(std::string self_address)
      : self_address_(std::move(self_address)) {}

  // Adds addresses to report to. An address is dropped after 60 s without a
  // report from it, a list or a seed that names it.
  auto AddSeeds(const std::vector<PeerSeed>& seeds, Time now) -> void;
  // Stores the state from a router's own message if it is newer than the
  // message stored before; whether it was.
  auto ApplyReport(const RouterState& state, std::uint64_t sequence, Time now)
      -> bool;
  // Stores the state of a router that a hub hears, unless this router hears it
  // itself.
  auto ApplyListed(const RouterState& state, Time now) -> void;
  // A hub no longer hears the router. Whether it was live and now is not.
  auto MarkLost(const RouterId& router, Time now) -> bool;
  auto IsLiveRouter(const RouterId& router, Time now) const -> bool;
  // Whether the router at the address has said that it leaves and is silent
  // now.
  auto HasLeft(const std::string& address, Time now) const -> bool;
  // Drops addresses that were silent for long.
  auto DropSilent(Time now) -> void;
  // Live routers of the data centre that fell silent. `must_report` leaves out
  // the lists of hubs: only a router's own reports count.
  auto TakeSilent(const DataCenterId& data_center, bool must_report, Time now)
      -> std::vector<RouterId>;

  // Live routers that are ready and not leaving.
  auto ServingRouters(Time now) const -> std::vector<ServingRouter>;
  // All live routers.
  auto LivePeers(Time now) const -> std::vector<LivePeer>;
  auto LiveAddresses(Time now) const -> std::vector<std::string>;
  // States of the live routers of a data centre.
  auto LiveStates(const DataCenterId& data_center, Time now) const
      -> std::vector<RouterState>;
  // All known routers, to report to. Peers in `data_center` count as near.
  auto ReportPeers(const DataCenterId& data_center) const
      -> std::vector<ReportPeer>;
  // All known addresses, and those of one data centre, live or not.
  auto AllAddresses() const -> std::vector<std::string>;
  auto AddressesIn(const DataCenterId& data_center) const
      -> std::vector<std::string>;
  // Known addresses that are not live.
  auto SilentAddresses(Time now) const -> std::vector<std::string>;
  auto DataCenters() const -> std::set<DataCenterId>;
  // Addresses of the data centre that may be its hubs, the best first: live
  // routers that are not leaving, and ones that were found in the store a
  // moment ago. `self` competes if it is in that data centre and not null;
  // `silent` names addresses that don't do a hub's work.
  auto RankHubs(const DataCenterId& data_center, const RouterState* self,
                const std::set<std::string>& silent, Time now) const
      -> std::vector<std::string>;
  // Live routers whose configuration is newer than `version`; those of one data
  // centre, or of all if it is null.
  auto AddressesWithNewerVersion(std::uint64_t version,
                                 const DataCenterId* data_center,
                                 Time now) const -> std::vector<std::string>;
  // Newest configuration that a live router reports; 0 if none does.
  auto NewestVersion(Time now) const -> std::uint64_t;
  // Whether a live router's calls show that the store had no long outage
  // lately.
  auto HasContinuousPeer(Time now) const -> bool;
  auto LiveIssuers(Time now) const -> PermitIssuers;
  // Number of live routers.
  auto LiveCount(Time now) const -> std::size_t;
  // Number of routers of which a router has told. Until the table is settled,
  // those whose rows were found count too: their reports are on the way. Later
  // they don't, as the row of a router that is gone may stay for good.
  auto ExpectedCount(Time now) const -> std::size_t;
  // Number of routers that read the list of targets: live ones that reach the
  // store, and at the start those whose rows were found. Only those in data
  // centres that `is_heard` names count.
  auto CountReaders(const std::function<bool(const DataCenterId&)>& is_heard,
                    Time now) const -> std::size_t;
  auto is_settled(Time now) const -> bool;
  // Number of known routers, live or not.
  auto size() const -> std::size_t { return peers_.size(); }

 private:
  struct Peer {
    // Until a message or list names the router, only the address, the data
    // centre and the cores of its row.
    RouterState state;
    // Of the newest message of the router itself.
    std::uint64_t sequence = 0;
    Time first_named_at{};
    // Newest seed, list or report.
    Time last_named_at{};
    Time reported_at{};
    Time listed_at{};
    bool has_state = false;
    // `TakeSilent` has not returned it since it was live.
    bool is_known_live = false;
  };

  auto FindOrAdd(const std::string& address, Time now) -> Peer&;
  static auto HasReported(const Peer& peer, Time now) -> bool;
  static auto IsLive(const Peer& peer, Time now) -> bool;

  std::string self_address_;
  std::map<std::string, Peer> peers_;
  // When the first rows were found.
  Time seeded_at_{};
  // Result of `LiveCount` at `counted_at_`, of `counted_peers_` known routers.
  mutable std::size_t live_count_ = 0;
  mutable std::size_t counted_peers_ = 0;
  mutable Time counted_at_{};
};

}  // namespace papayaplank

#endif  // GATEWAY_PEER_TABLE_H_
