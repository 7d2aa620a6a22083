// What the routers of a fleet tell each other about themselves.
#ifndef GATEWAY_ROUTER_STATE_H_
#define GATEWAY_ROUTER_STATE_H_

#include <cstdint>
#include <string>

#include "base/base.h"

namespace papayaplank {

// State of one router process, without its requests.
struct RouterState {
  // Start of the process, Unix milliseconds. Of two processes with the same
  // address, only the later one counts.
  std::int64_t started_unix_ms = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  // Processor time that the instance grants, in cores.
  double cores = 1;
  bool is_leaving = false;
  // New callers should be directed to other routers.
  bool diverts_callers = false;
  // It has a confirmed configuration and targets.
  bool is_ready = false;
  // Its calls show that the store had no long outage lately; see
  // `StoreContinuity`.
  bool is_store_continuous = false;
  // Its newest call to the store failed.
  bool is_store_failing = false;
  // It hands out permits for limited targets and asks others for them.
  bool issues_permits = false;
  std::uint64_t config_version = 0;
  // Of the versions of the store that its messages name.
  StoreEra store_era{};

  // Identifies the process by address and start.
  auto router() const -> RouterId {
    return RouterId(peer_address + "#" + std::to_string(started_unix_ms));
  }
  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator==(const RouterState&, const RouterState&)
      -> bool = default;
};

}  // namespace papayaplank

#endif  // GATEWAY_ROUTER_STATE_H_
