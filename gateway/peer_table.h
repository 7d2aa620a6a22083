// The other routers, known from rows in the store and from their reports.
#ifndef GATEWAY_PEER_TABLE_H_
#define GATEWAY_PEER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "gateway/peer_messages.h"
#include "gateway/report_schedule.h"

namespace papayaplank {

// Address of a router from a row in the store; it may not have reported yet.
struct PeerSeed {
  std::string peer_address;
};

// A router that callers may be directed to.
struct ServingRouter {
  std::string caller_address;
  DataCenterId data_center;
  bool diverts_callers = false;
};

// A router that reported lately.
struct LivePeer {
  RouterId router;
  std::string peer_address;
  bool is_store_failing = false;
};

// Routers by the address of their peer socket. A router is live if it reported
// lately.
class PeerTable {
 public:
  // `self_address` is this router's own; it is never added.
  explicit PeerTable(std::string self_address)
      : self_address_(std::move(self_address)) {}

  // Adds addresses to report to. An address is dropped after 60 s without a
  // report from it or a seed that names it.
  auto AddSeeds(const std::vector<PeerSeed>& seeds, Time now) -> void;
  // Stores the report if it is newer than the stored one; whether it was.
  auto ApplyReport(const PeerReport& report, Time now) -> bool;

  // Drops silent addresses and returns the others, to report to. Peers in
  // `data_center` count as near.
  auto PeersToReportTo(const DataCenterId& data_center, Time now)
      -> std::vector<ReportPeer>;
  // Live routers that are ready and not leaving.
  auto ServingRouters(Time now) const -> std::vector<ServingRouter>;
  // All live routers.
  auto LivePeers(Time now) const -> std::vector<LivePeer>;
  auto LiveAddresses(Time now) const -> std::vector<std::string>;
  // Live routers whose configuration is newer than `version`.
  auto AddressesWithNewerVersion(std::uint64_t version, Time now) const
      -> std::vector<std::string>;
  // Whether a live router's calls show that the store had no long outage
  // lately.
  auto HasContinuousPeer(Time now) const -> bool;
  // Number of live routers.
  auto LiveCount(Time now) const -> std::size_t;

 private:
  struct Peer {
    // Without loads, rates and target updates.
    PeerReport report;
    // Newest seed or report.
    Time last_named_at{};
    Time reported_at{};
    bool has_reported = false;
  };

  auto IsLive(const Peer& peer, Time now) const -> bool;

  std::string self_address_;
  std::map<std::string, Peer> peers_;
};

}  // namespace papayaplank

#endif  // GATEWAY_PEER_TABLE_H_
