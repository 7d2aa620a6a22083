// One router process: binds the sockets, runs the event loop, and stops
// gracefully.
#ifndef RELAY_RELAY_PROCESS_H_
#define RELAY_RELAY_PROCESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission/admission.h"
#include "base/base.h"
#include "routing/routing.h"

namespace papayaplank {

// Validated settings of the process.
struct RelaySettings {
  // Unique in the fleet; key of the router's row in the store, and its name in
  // the log.
  std::string name;
  std::string data_center;
  // Region of each data centre.
  std::map<DataCenterId, RegionId> regions;
  // Addresses are IP:port; `directory_listen` and `metrics_listen` may be
  // empty. On `directory_listen`, callers ask for the addresses of routers; on
  // `ready_listen`, the platform asks whether this router is ready.
  std::string caller_listen;
  std::string ready_listen;
  std::string directory_listen;
  std::string peer_listen;
  std::string metrics_listen;
  std::string store_address;
  // Longest time for which a revoked API key may still work.
  Duration revocation_bound{};
  // Longest time until a change of the configuration is in force.
  Duration configuration_bound{};
  // Bound on the requests to a cold target.
  ColdBound cold;
  // What the platform guarantees of targets that leave.
  ExitTimes exits;
  // Time from the stop signal until the process is killed.
  Duration stop_grace{};
  // Retry budget of the fleet: retries per request, and retries allowed on top
  // of that, within the window.
  double retry_ratio = 0;
  double retry_slack = 0;
  Duration retry_window{};
  // Processor time that the instance grants, in cores.
  double cores = 1;
  // Memory of the instance, in bytes.
  std::size_t memory_limit = 256 << 20;
  // File descriptors that the process may use.
  int max_descriptors = 1024;
};

// Runs until SIGTERM or SIGINT. On SIGHUP it calls `on_reload`, which rereads
// the settings file and returns the result for the log. An error names the
// address that can't be bound.
auto RunRelay(const RelaySettings& settings,
              const std::function<std::string()>& on_reload) -> Outcome<Done>;

}  // namespace papayaplank

#endif  // RELAY_RELAY_PROCESS_H_
