// One router process: binds the sockets, runs the task, stops in order.
#ifndef RELAY_RELAY_PROCESS_H_
#define RELAY_RELAY_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"

namespace papayaplank {

// Settings of the process, checked.
struct RelaySettings {
  std::string name;
  std::string data_center;
  // Addresses are IP:port.
  std::string caller_listen;
  std::string ready_listen;
  std::string directory_listen;
  std::string peer_listen;
  std::string metrics_listen;
  std::string store_address;
  Duration revocation_bound{};
  // Time from the order to stop until the process is killed.
  Duration stop_grace{};
  double retry_ratio = 0;
  double retry_slack = 0;
  Duration retry_window{};
  // Descriptors that sockets may use.
  int max_descriptors = 1024;
};

// Runs until the process is told to stop. `on_reload` is called when the
// process is told that its settings file has changed; it returns a line for
// the log.
auto RunRelay(const RelaySettings& settings,
              const std::function<std::string()>& on_reload) -> Outcome<Done>;

}  // namespace papayaplank

#endif  // RELAY_RELAY_PROCESS_H_
