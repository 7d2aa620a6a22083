// One router process: binds the sockets, runs the event loop, and stops
// gracefully.
#ifndef RELAY_RELAY_PROCESS_H_
#define RELAY_RELAY_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"

namespace papayaplank {

// Validated settings of the process.
struct RelaySettings {
  std::string name;
  std::string data_center;
  // Addresses are IP:port; `directory_listen` and `metrics_listen` may be
  // empty.
  std::string caller_listen;
  std::string ready_listen;
  std::string directory_listen;
  std::string peer_listen;
  std::string metrics_listen;
  std::string store_address;
  // Longest time for which a revoked API key may still work.
  Duration revocation_bound{};
  // Time from the stop signal until the process is killed.
  Duration stop_grace{};
  // Retry budget of the fleet: retries per request, and retries allowed on top
  // of that, within the window.
  double retry_ratio = 0;
  double retry_slack = 0;
  Duration retry_window{};
  // File descriptors that the process may use.
  int max_descriptors = 1024;
};

// Runs until SIGTERM or SIGINT. On SIGHUP it calls `on_reload`, which rereads
// the settings file and returns the result for the log.
auto RunRelay(const RelaySettings& settings,
              const std::function<std::string()>& on_reload) -> Outcome<Done>;

}  // namespace papayaplank

#endif  // RELAY_RELAY_PROCESS_H_
