// Stand-in for the platform of papayaplank_router: table service, object store
// and instance list.
#ifndef STANDINS_PLATFORM_STANDIN_H_
#define STANDINS_PLATFORM_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "standins/fault_plan.h"
#include "transport/transport.h"

namespace papayaplank {

// Serves all three services on one port until it is destroyed.
class PlatformStandin {
 public:
  // `address` is IP:port, `instances` the JSON text of the instance list.
  // Returns the error of HttpService::Open.
  static auto Open(const std::string& address, const std::string& instances)
      -> Outcome<std::unique_ptr<PlatformStandin>>;

 private:
  struct Row {
    std::uint64_t version = 0;
    std::string value;
  };

  auto Handle(const HttpCall& call) -> HttpAnswer;
  auto HandleAdmin(const HttpCall& call) -> HttpAnswer;
  auto HandleRead(const HttpCall& call) -> HttpAnswer;
  auto HandleTransact(const HttpCall& call) -> HttpAnswer;
  auto HandleObjects(const HttpCall& call) -> HttpAnswer;
  auto HandleInstances(const HttpCall& call) -> HttpAnswer;

  FaultPlan faults_;
  std::mutex mutex_;
  // Guarded by `mutex_`, as is all below except `http_`.
  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::string instances_;
  // Version of the next row that is written.
  std::uint64_t next_version_ = 1;
  std::uint64_t instances_version_ = 1;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::unique_ptr<HttpService> http_;
};

}  // namespace papayaplank

#endif  // STANDINS_PLATFORM_STANDIN_H_
