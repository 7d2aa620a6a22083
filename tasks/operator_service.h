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
  std::string address;
  // Keys of operators and of the fleet's own routers.
  std::string operator_key;
  std::string fleet_key;
};

// Tasks that the service reads and changes.
struct OperatorServiceDependencies {
  CoreTask& core;
  ConfigurationTask& configuration;
  MetricRegistry& metrics;
  // Updates gauges before they are exported.
  std::function<void()> refresh_metrics;
  std::function<bool()> is_ready;
};

// Serves requests until it is destroyed.
class OperatorService {
 public:
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

// Calls a JSON-RPC method of a router's operator service.
auto CallOperatorPort(const std::string& address, const std::string& key,
                      const std::string& method, const std::string& argument,
                      Duration timeout) -> RpcAnswer;

}  // namespace papayaplank

#endif  // TASKS_OPERATOR_SERVICE_H_
