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
#include "routing/routing.h"

namespace papayaplank {

// State of a router, sent to its peers several times a second. Each report
// replaces the one before it.
struct PeerReport {
  // Start of the process, Unix milliseconds. Of two processes with the same
  // address, only the reports of the later one count.
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  bool is_leaving = false;
  // New callers should be directed to other routers.
  bool diverts_callers = false;
  // It has a confirmed configuration and targets.
  bool is_ready = false;
  std::uint64_t config_version = 0;
  // Its calls show that the store had no long outage lately; see
  // `StoreContinuity`.
  bool is_store_continuous = false;
  // Its newest call to the store failed.
  bool is_store_failing = false;
  // Its requests at each target. Targets are identified by `TargetHash`, to
  // keep reports small.
  std::vector<std::pair<std::uint32_t, LoadShare>> loads;
  // Rates of customers. Absent from most reports, as they change slowly.
  std::optional<FairShare::Rates> rates;
  // Changes of targets that the router has read from the store lately.
  std::vector<TargetUpdate> target_updates;

  // Identifies the process by address and start.
  auto router() const -> RouterId {
    return RouterId(peer_address + "#" + std::to_string(started_unix_ms));
  }
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

// The configuration and targets of a router, for a peer whose calls to the
// store fail.
struct PeerSnapshot {
  // The operator's configuration document that is in force.
  std::string configuration;
  std::vector<TargetUpdate> targets;
};

using PeerMessage =
    std::variant<PeerReport, FreshnessQuery, FreshnessReply, PeerSnapshot>;

// Short identifier of a target in reports.
auto TargetHash(const TargetId& target) -> std::uint32_t;

auto EncodePeerMessage(const PeerMessage& message) -> std::string;
// Nothing if the bytes are not a valid message.
auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage>;

}  // namespace papayaplank

#endif  // GATEWAY_PEER_MESSAGES_H_
