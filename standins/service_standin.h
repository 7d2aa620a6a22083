// Stand-in for a plain service that counts how often each request ran.
#ifndef STANDINS_SERVICE_STANDIN_H_
#define STANDINS_SERVICE_STANDIN_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "standins/fault_plan.h"
#include "transport/transport.h"

namespace papayaplank {

// Serves until it is destroyed. Counts runs per value of the header X-Run-Key.
class ServiceStandin {
 public:
  // `address` is IP:port; each run takes `work_time`. Returns the error of
  // HttpService::Open.
  static auto Open(const std::string& address, Duration work_time)
      -> Outcome<std::unique_ptr<ServiceStandin>>;

 private:
  explicit ServiceStandin(Duration work_time) : work_time_(work_time) {}
  auto Handle(const HttpCall& call) -> HttpAnswer;

  const Duration work_time_;
  FaultPlan faults_;
  std::mutex mutex_;
  // Number of runs by run key; guarded by `mutex_`.
  std::map<std::string, int> run_counts_;
  std::unique_ptr<HttpService> http_;
};

}  // namespace papayaplank

#endif  // STANDINS_SERVICE_STANDIN_H_
