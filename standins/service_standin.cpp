// Runs are counted before the answer, so that a lost answer is a run.
#include "standins/service_standin.h"

#include <thread>
#include <utility>

namespace papayaplank {
namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr unsigned kThreads = 16;

}  // namespace

auto ServiceStandin::Open(const std::string& address, Duration work)
    -> Outcome<std::unique_ptr<ServiceStandin>> {
  std::unique_ptr<ServiceStandin> service(new ServiceStandin(work));
  HttpServiceOptions options;
  options.address = address;
  options.threads = kThreads;
  auto opened =
      HttpService::Open(options, [raw = service.get()](const HttpCall& call) {
        return raw->Handle(call);
      });
  if (!IsOk(opened)) return ErrorOf(opened);
  service->http_ = std::move(ValueOf(opened));
  return service;
}

auto ServiceStandin::Handle(const HttpCall& call) -> HttpAnswer {
  if (call.path == "/admin/fault") {
    return {faults_.Set(call.body) ? kOk : kServerError, "text/plain", "\n"};
  }
  if (call.path == "/admin/runs") {
    const std::lock_guard lock(mutex_);
    return {kOk, "application/json", nlohmann::json(runs_).dump() + "\n"};
  }
  const auto fault = faults_.Take();
  if (fault.is_down) return {kServerError, "text/plain", "down\n"};
  const auto found = call.headers.find("x-run-key");
  const auto key = found == call.headers.end() ? "" : found->second;
  int count = 0;
  {
    const std::lock_guard lock(mutex_);
    count = ++runs_[key];
  }
  std::this_thread::sleep_for(work_ + milliseconds(fault.delay_ms));
  if (fault.is_swallowed) return {0, "", ""};
  const nlohmann::json answer = {{"path", call.path},
                                 {"run_key", key},
                                 {"runs", count},
                                 {"bytes", call.body.size()}};
  return {kOk, "application/json", answer.dump() + "\n"};
}

}  // namespace papayaplank
