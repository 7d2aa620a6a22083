// Messages between routers, and their codec.
#ifndef GATEWAY_PEER_MESSAGES_H_
#define GATEWAY_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "gateway/router_state.h"
#include "routing/routing.h"

namespace papayaplank {

// Requests at targets. Targets are identified by `TargetHash`, to keep messages
// small; each stands in the list once.
using TargetLoads = std::vector<std::pair<std::uint32_t, LoadShare>>;

// State of a router, sent to peers several times a second. Each report replaces
// the one before it.
struct PeerReport : RouterState {
  std::uint64_t sequence = 0;
  // Its requests at each target.
  TargetLoads loads;
  // Rates of customers. Absent from most reports, as they change slowly.
  std::optional<FairShare::Rates> rates;
  // Changes of targets that the router has read from the store lately.
  std::vector<TargetUpdate> target_updates;
};

// Sums over many routers, made by a hub from the reports that it received.
struct FleetSummary {
  // What the sums cover.
  enum class Scope {
    // The hub's data centre. Sent to the hubs of the other data centres.
    kDataCenter,
    // The fleet. Sent to the routers of the hub's data centre.
    kFleet,
  };

  RouterState sender;
  std::uint64_t sequence = 0;
  Scope scope = Scope::kDataCenter;
  // Number of routers whose requests the sums contain.
  int routers = 0;
  TargetLoads loads;
  // Absent from most summaries, as rates change slowly.
  std::optional<FairShare::Rates> rates;
  // Newest report of each router of the hub's data centre in the sums, so that
  // a router can tell its own part: `RouterHash` and sequence.
  std::vector<std::pair<std::uint32_t, std::uint64_t>> included;
  // Live routers; a summary lists some of the data centres, each as a whole.
  std::vector<RouterState> listed;
  // Routers that fell silent lately.
  std::vector<RouterId> lost;
  std::vector<TargetUpdate> target_updates;
};

// What a router knows of prompt parts that crash targets. Sent only while it
// knows of any.
struct PartEvidence {
  std::vector<PartRecord> records;
};

// What a router knows of a target's limit; see `LimitNews`. The age is as of
// the sending.
struct TargetLimitRecord {
  // `TargetHash`.
  std::uint32_t target = 0;
  // 0 if the router knows nothing.
  std::uint32_t id = 0;
  ProcessStart process;
  std::optional<RequestRate> limit;
  Duration age{};
};

// A process of a target that said it leaves.
struct DepartureRecord {
  // `TargetHash`.
  std::uint32_t target = 0;
  ProcessStart process;
};

// A pause that a target asked another router for.
struct PauseRecord {
  // `TargetHash`.
  std::uint32_t target = 0;
  ProcessStart process;
  // As of the sending.
  Duration left{};
};

// What a router knows of whether a target is cold; see `ColdState`.
struct ColdRecord {
  // `TargetHash`.
  std::uint32_t target = 0;
  ProcessStart process;
  ColdCause cause = ColdCause::kStated;
  // Of the evidence, as of the sending.
  Duration age{};
  // How much longer it is cold.
  Duration left{};
};

// What targets have said of themselves. Sent only while any of them says so.
struct StatementReport {
  std::vector<TargetLimitRecord> limits;
  std::vector<DepartureRecord> departures;
  std::vector<PauseRecord> pauses;
  std::vector<ColdRecord> cold;
  // Not a statement of targets, but of the operator about them.
  std::vector<EvacuationRecord> evacuations;
  // Of the versions of the evacuations.
  StoreEra store_era{};

  auto is_empty() const -> bool {
    return limits.empty() && departures.empty() && pauses.empty() &&
           cold.empty() && evacuations.empty();
  }
};

// Asks the owner of a limited target for the right to send one request there.
struct PermitRequest {
  // Peer address of the sender.
  std::string sender;
  PermitNonce nonce;
  PermitClass permit_class = PermitClass::kWithinShare;
  TargetLimitRecord record;
  // What the sender knows of whether the target is cold. An owner that does not
  // know it yet would grant every request.
  std::optional<ColdRecord> cold{};
};

// Reply to a request for a permit.
struct PermitGrant {
  PermitNonce nonce;
  bool is_granted = false;
  // If refused: until it is worth asking again.
  Duration wait{};
  TargetLimitRecord record;
};

// Asks a peer how long ago its configuration was confirmed as the newest.
struct FreshnessQuery {
  // Chosen by the sender; the reply repeats it.
  std::uint64_t nonce = 0;
};

// Reply to a freshness query.
struct FreshnessReply {
  std::uint64_t nonce = 0;
  std::uint64_t config_version = 0;
  // Age of the newest confirmation by the store when the reply was sent.
  Duration age{};
};

// The configuration and targets of a router, for a peer that does not read them
// from the store.
struct PeerSnapshot {
  // The operator's configuration document that is in force.
  std::string configuration;
  std::vector<TargetUpdate> targets;
  std::vector<EvacuationRecord> evacuations;
  // Of the versions of targets and evacuations.
  StoreEra store_era{};
};

using PeerMessage = std::variant<PeerReport, FleetSummary, PartEvidence,
                                 StatementReport, PermitRequest, PermitGrant,
                                 FreshnessQuery, FreshnessReply, PeerSnapshot>;

// Short identifiers of a target and of a router process in messages.
auto TargetHash(const TargetId& target) -> std::uint32_t;
auto RouterHash(const RouterId& router) -> std::uint32_t;

auto EncodePeerMessage(const PeerMessage& message) -> std::string;
// Nothing if the bytes are not a valid message.
auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage>;

}  // namespace papayaplank

#endif  // GATEWAY_PEER_MESSAGES_H_
