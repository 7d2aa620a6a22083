// Stand-in for a plain service: counts how often each request ran.
#ifndef STANDINS_SERVICE_STANDIN_H_
#define STANDINS_SERVICE_STANDIN_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "standins/fault_plan.h"
#include "transport/transport.h"

namespace papayaplank {

// Serves until it is destroyed. A run is counted by the header X-Run-Key.
class ServiceStandin {
 public:
  static auto Open(const std::string& address, Duration work)
      -> Outcome<std::unique_ptr<ServiceStandin>>;

 private:
  explicit ServiceStandin(Duration work) : work_(work) {}
  auto Handle(const HttpCall& call) -> HttpAnswer;

  const Duration work_;
  FaultPlan faults_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::map<std::string, int> runs_;
  std::unique_ptr<HttpService> http_;
};

}  // namespace papayaplank

#endif  // STANDINS_SERVICE_STANDIN_H_
