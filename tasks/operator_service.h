// HTTP service for operators and peers: JSON-RPC, metrics, liveness, readiness.
#ifndef TASKS_OPERATOR_SERVICE_H_
#define TASKS_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "metrics/metrics.h"
#include "tasks/configuration_task.h"
#include "tasks/core_task.h"
#include "transport/transport.h"

namespace papayaplank {

// Address and keys of the service.
struct OperatorServiceOptions {
  // IPv4 address and port, "IP:port".
  std::string address;
  // Key with which operators authenticate.
  std::string operator_key;
  // Key with which the fleet's routers authenticate.
  std::string fleet_key;
};

// What the service reads and changes. The callbacks are called on the service's
// threads.
struct OperatorServiceDependencies {
  CoreTask& core;
  ConfigurationTask& configuration;
  MetricRegistry& metrics;
  // Updates gauges before they are exported.
  std::function<void()> refresh_metrics;
  // Whether the router can serve callers, for /readyz.
  std::function<bool()> is_ready;
};

// Serves requests until it is destroyed.
class OperatorService {
 public:
  // Errors: `kInvalidArgument` for a malformed address, `kUnavailable` if it
  // cannot listen there.
  static auto Open(const OperatorServiceOptions& options,
                   OperatorServiceDependencies dependencies)
      -> Outcome<std::unique_ptr<OperatorService>>;

 private:
  OperatorService(OperatorServiceOptions options,
                  OperatorServiceDependencies dependencies);
  auto AddMethods() -> void;
  auto Handle(const HttpCall& call) -> HttpAnswer;
  auto Submit(const std::string& argument) -> RpcAnswer;
  auto Check(const std::string& argument) -> RpcAnswer;
  auto Show(const std::string& argument) -> RpcAnswer;
  auto History(const std::string& argument) -> RpcAnswer;
  auto Status() -> RpcAnswer;
  auto Targets() -> RpcAnswer;
  auto Explain(const std::string& argument) -> RpcAnswer;

  OperatorServiceOptions options_;
  OperatorServiceDependencies dependencies_;
  RpcServer operator_rpc_;
  RpcServer peer_rpc_;
  std::unique_ptr<HttpService> http_;
};

// Calls a JSON-RPC method of the operator service at `address` ("IP:port") and
// waits at most `timeout`. A failure is in the returned answer.
auto CallOperatorPort(const std::string& address, const std::string& key,
                      const std::string& method, const std::string& argument,
                      Duration timeout) -> RpcAnswer;

}  // namespace papayaplank

#endif  // TASKS_OPERATOR_SERVICE_H_
