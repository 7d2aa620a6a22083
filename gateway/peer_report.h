// What a router tells its peers several times a second, and its codec.
#ifndef GATEWAY_PEER_REPORT_H_
#define GATEWAY_PEER_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/admission.h"

namespace papayaplank {

// One report; each replaces the one before it.
struct PeerReport {
  // Unique over address and start of the process.
  RouterId router;
  // Start of the process, Unix milliseconds: of two processes with the same
  // address the later one counts.
  std::int64_t started_unix_ms = 0;
  std::uint64_t sequence = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  bool is_leaving = false;
  // Whether it serves: it has a configuration and targets.
  bool is_ready = false;
  std::uint64_t config_version = 0;
  // Targets are named by `TargetHash`, to keep reports small.
  std::vector<std::pair<std::uint32_t, LoadShare>> loads;
  FairShare::Rates rates;
  // Targets that were seen draining or gone lately.
  std::vector<std::uint32_t> left_targets;
};

// Short name of a target in reports.
auto TargetHash(const TargetId& target) -> std::uint32_t;

auto EncodePeerReport(const PeerReport& report) -> std::string;
// Nothing if the bytes are no report.
auto DecodePeerReport(std::string_view bytes) -> std::optional<PeerReport>;

}  // namespace papayaplank

#endif  // GATEWAY_PEER_REPORT_H_
