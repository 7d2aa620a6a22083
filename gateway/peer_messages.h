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

// What a router tells all its peers several times a second. Each report
// replaces the one before it.
struct PeerReport {
  // Start of the process, Unix milliseconds: of two processes with the same
  // address the later one counts.
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  bool is_leaving = false;
  // Callers should be sent to other routers.
  bool diverts_callers = false;
  // Whether it serves: it has a configuration and targets.
  bool is_ready = false;
  std::uint64_t config_version = 0;
  // Whether its calls show that the store had no long outage lately.
  bool is_store_continuous = false;
  // Whether its newest call of the store failed.
  bool is_store_failing = false;
  // Targets are named by `TargetHash`, to keep reports small.
  std::vector<std::pair<std::uint32_t, LoadShare>> loads;
  // Left out of most reports, as they change slowly.
  std::optional<FairShare::Rates> rates;
  // Changes of targets that this router has read lately.
  std::vector<TargetUpdate> target_updates;

  // Unique over address and start.
  auto router() const -> RouterId {
    return RouterId(peer_address + "#" + std::to_string(started_unix_ms));
  }
};

// Asks a peer how fresh its configuration is.
struct FreshnessQuery {
  // Chosen by the asker; the reply repeats it.
  std::uint64_t nonce = 0;
};

// The answer to a query.
struct FreshnessReply {
  std::uint64_t nonce = 0;
  std::uint64_t config_version = 0;
  // Age of the newest confirmation by the store when the reply was sent.
  Duration age{};
};

// What a router knows from the store, for one that the store fails.
struct PeerSnapshot {
  // The operator's document in force.
  std::string configuration;
  std::vector<TargetUpdate> targets;
};

using PeerMessage =
    std::variant<PeerReport, FreshnessQuery, FreshnessReply, PeerSnapshot>;

// Short name of a target in reports.
auto TargetHash(const TargetId& target) -> std::uint32_t;

auto EncodePeerMessage(const PeerMessage& message) -> std::string;
// Nothing if the bytes are no message.
auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage>;

}  // namespace papayaplank

#endif  // GATEWAY_PEER_MESSAGES_H_
