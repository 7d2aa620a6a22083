// A complete router: creates all tasks and connects them.
#ifndef TASKS_ROUTER_PROCESS_H_
#define TASKS_ROUTER_PROCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "router/router.h"

namespace papayaplank {

// Settings of a router process.
struct RouterSettings {
  // Part of the router's id; a new random suffix is added at each start.
  std::string name;
  DataCenterId data_center;
  RegionId region;
  // Addresses are "IP:port". The first three are the router's own.
  std::string caller_address;
  std::string operator_address;
  std::string gossip_address;
  // Gossip addresses of peers to contact before the instance list is available.
  std::vector<std::string> seeds;
  std::string table_address;
  std::string object_address;
  std::string instance_list_address;
  // Key with which operators authenticate.
  std::string operator_key;
  // Secret of the fleet's routers, for their calls and datagrams.
  std::string fleet_key;
  // See `Stop`.
  Duration drain_time = seconds(5);
  Duration stop_limit = seconds(600);
  // Longest time without a byte from a target.
  Duration progress_timeout = seconds(10);
  // How long callers may cache the answer of /v1/addresses.
  seconds address_lifetime = seconds(10);
  // Memory of the instance; a share of it is for request bodies.
  std::size_t memory_limit = 512UL << 20;
  // Callers' connections that are open at one time.
  unsigned max_connections = 8192;
  RouterOptions router;
};

// Runs a router until `Stop` is called.
class RouterProcess {
 public:
  // Starts all tasks. Errors: `kInvalidArgument` for a malformed address,
  // `kUnavailable` if the router cannot listen on one.
  static auto Open(const RouterSettings& settings)
      -> Outcome<std::unique_ptr<RouterProcess>>;
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  auto operator=(const RouterProcess&) -> RouterProcess& = delete;

  // Stops gracefully: announces the stop, keeps serving callers for
  // `drain_time`, then waits at most `stop_limit` for open requests.
  auto Stop() -> void;

 private:
  class Tasks;
  explicit RouterProcess(std::unique_ptr<Tasks> tasks);

  std::unique_ptr<Tasks> tasks_;
};

}  // namespace papayaplank

#endif  // TASKS_ROUTER_PROCESS_H_
