// Exchange of loads, rates and liveness among the routers of a fleet, at a cost
// for each router that doesn't grow with the number of routers.
//
// In a small fleet every router reports to every other one. In a larger one a
// router reports to the hubs of its data centre only: two routers that all
// choose alike. A hub sends the sums over its data centre to the hubs of the
// other ones, and the sums over the fleet to the routers of its own.
#ifndef GATEWAY_FLEET_EXCHANGE_H_
#define GATEWAY_FLEET_EXCHANGE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/load_sums.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"

namespace papayaplank {

// A message and the addresses that it goes to.
struct OutgoingMessage {
  PeerMessage message;
  std::vector<std::string> recipients;
};

// How a router takes part in the exchange.
enum class ExchangeRole {
  kMesh,    // Exchanges reports with every router.
  kHub,     // Adds up the reports of its data centre.
  kMember,  // Reports to the hubs of its data centre.
};

auto ExchangeRoleName(ExchangeRole role) -> std::string_view;

// One router's part in the exchange. `peers` and `shares` are the router's own
// and outlive it.
class FleetExchange {
 public:
  FleetExchange(PeerTable& peers, FairShare& shares, std::uint64_t seed)
      : peers_(peers), shares_(shares), random_(seed) {}

  // Called once per tick of the periodic timer, before the messages are made.
  auto Tick(const RouterState& self, Time now) -> void;
  // The loads and rates of a report that the peer table took as new.
  auto ApplyReport(const PeerReport& report, Time now) -> void;
  // Returns whether the summary is newer than the last one of its hub; only
  // then its target updates count.
  auto ApplySummary(const FleetSummary& summary, Time now) -> bool;

  // The messages due at this tick; `report` is this router's newest.
  auto MakeMessages(PeerReport report, Time now)
      -> std::vector<OutgoingMessage>;

  // Where this router sends evidence about prompt parts: in a mesh to all, from
  // a member to its hubs, from a hub to the other hubs and to its members.
  auto EvidenceRecipients(Time now) -> std::vector<std::string>;

  // Requests of the other routers at a target.
  auto Others(std::uint32_t target) const -> LoadShare;
  // Targets for which `Others` has changed since the last call.
  auto TakeChanged() -> std::vector<std::uint32_t>;
  auto role() const -> ExchangeRole { return role_; }
  // Whether the hubs of this data centre have changed since the last call.
  auto TakeHubChange() -> bool {
    return std::exchange(have_hubs_changed_, false);
  }
  // Whether this router may have missed what others told since the last call:
  // it has taken over as a hub, or all its hubs are new.
  auto TakeGap() -> bool { return std::exchange(has_gap_, false); }
  // Whether the loads of the whole fleet arrive: a member hears a hub, and most
  // routers of the data centre report to a hub.
  auto is_informed(Time now) const -> bool;
  // Routers that read the list of targets and whose news reach this one.
  auto CountReaders(Time now) const -> std::size_t;

 private:
  // What is known of one hub's summaries.
  struct HubRecord {
    DataCenterId data_center;
    std::int64_t started_unix_ms = 0;
    std::uint64_t sequence = 0;
    int routers = 0;
    Time received_at{};
  };
  struct SentLoads {
    std::uint64_t sequence = 0;
    TargetLoads loads;
  };

  // A hub by its address and the start of its process.
  using HubProcess = std::pair<std::string, std::int64_t>;

  auto SetRole(ExchangeRole role, Time now) -> void;
  // Notes who the hubs of this data centre are.
  auto SetNearHubs(std::vector<std::string> addresses, Time now) -> void;
  // Whether a hub of the data centre sent a summary lately.
  auto HearsHubOf(const DataCenterId& data_center, Time now) const -> bool;
  // Hubs whose summaries stayed away lately.
  auto SilentHubs(Time now) const -> std::set<std::string>;
  // Whether this hub's summary is the most complete one of its data centre.
  auto IsBest(const FleetSummary& summary, Time now) const -> bool;
  // Adds the listed routers as addresses to report to, live or not.
  auto AddListedAddresses(const FleetSummary& summary, Time now) -> void;
  // The loads of the summary without those of this router.
  auto WithoutOwn(const FleetSummary& summary) const -> TargetLoads;
  auto ApplyFleetSums(const FleetSummary& summary, Time now) -> void;
  auto ApplyDataCenterSums(const FleetSummary& summary, Time now) -> void;

  auto MeshMessages(PeerReport report) const -> std::vector<OutgoingMessage>;
  // Where a member or hub sends its reports.
  auto ReportRecipients(const RouterState& self, Time now)
      -> std::vector<std::string>;
  auto MakeSummary(const PeerReport& report, FleetSummary::Scope scope)
      -> FleetSummary;
  // Adds the lists of routers that are due to both summaries.
  auto AddLists(const PeerReport& report, FleetSummary& near, FleetSummary& far,
                Time now) -> void;
  auto HubMessages(const PeerReport& report, Time now)
      -> std::vector<OutgoingMessage>;
  // Where a hub sends the sums over its data centre.
  auto RemoteHubs(const RouterState& self, Time now)
      -> std::vector<std::string>;

  PeerTable& peers_;
  FairShare& shares_;
  Random random_;
  RouterState self_;
  ExchangeRole role_ = ExchangeRole::kMesh;
  Time role_since_{};
  std::uint64_t tick_ = 0;
  std::uint64_t summary_sequence_ = 0;
  // Sums over routers that report to this one.
  LoadSums near_;
  // In a hub, sums over the other data centres; in a member, over the fleet.
  LoadSums far_;
  // Newest report of each router that reports to this one.
  std::unordered_map<RouterId, std::uint64_t> newest_report_;
  // By peer address.
  std::map<std::string, HubRecord> hubs_;
  // The hubs of this data centre, and since when they have been.
  std::map<HubProcess, Time> near_hubs_;
  // One of them has been a hub for a while.
  bool has_lasting_hub_ = false;
  bool have_hubs_changed_ = false;
  bool has_gap_ = false;
  // Loads of this router's latest reports, oldest first.
  std::deque<SentLoads> sent_;
  // Routers that fell silent lately, to be named in summaries.
  std::deque<std::pair<Time, RouterId>> recent_losses_;
  // Lists sent last, by data centre, to send changes at once.
  std::map<DataCenterId, std::vector<RouterState>> sent_lists_;
};

}  // namespace papayaplank

#endif  // GATEWAY_FLEET_EXCHANGE_H_
