// The other routers, from rows in the store and from their reports.
#ifndef GATEWAY_PEER_TABLE_H_
#define GATEWAY_PEER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "gateway/peer_messages.h"
#include "gateway/report_schedule.h"

namespace papayaplank {

// Where a router is found before it has been heard.
struct PeerSeed {
  std::string peer_address;
};

// A router that callers may be sent to.
struct ServingRouter {
  std::string caller_address;
  DataCenterId data_center;
  bool diverts_callers = false;
};

// A router that was heard lately.
struct LivePeer {
  RouterId router;
  std::string peer_address;
  bool is_store_failing = false;
};

// Routers by the address of their peer socket.
class PeerTable {
 public:
  // `self_address` is left out.
  explicit PeerTable(std::string self_address)
      : self_address_(std::move(self_address)) {}

  // Adds addresses to report to; an address that is not heard for
  // `kDropAfter` is dropped unless it is named again.
  auto AddSeeds(const std::vector<PeerSeed>& seeds, Time now) -> void;
  // Whether the report is newer than what is known.
  auto ApplyReport(const PeerReport& report, Time now) -> bool;

  // Everybody to report to; `data_center` tells who is near.
  auto ReportPeers(const DataCenterId& data_center, Time now)
      -> std::vector<ReportPeer>;
  // The routers that were heard lately and serve.
  auto ServingRouters(Time now) const -> std::vector<ServingRouter>;
  // The routers that were heard lately.
  auto LivePeers(Time now) const -> std::vector<LivePeer>;
  auto LiveAddresses(Time now) const -> std::vector<std::string>;
  // Live routers that have a newer version than `version` in force.
  auto AddressesWithNewerVersion(std::uint64_t version, Time now) const
      -> std::vector<std::string>;
  // Whether a live router has seen the store without a break.
  auto HasContinuousPeer(Time now) const -> bool;
  // Routers heard lately.
  auto LiveCount(Time now) const -> std::size_t;

 private:
  struct Peer {
    PeerReport report;
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
