// Counts a run before it answers, so that a run whose answer is lost counts.
#include "standins/service_standin.h"

#include <thread>
#include <utility>

namespace papayaplank {
namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr unsigned kThreads = 16;

}  // namespace

auto ServiceStandin::Open(const std::string& address, Duration work_time)
    -> Outcome<std::unique_ptr<ServiceStandin>> {
  std::unique_ptr<ServiceStandin> service(new ServiceStandin(work_time));
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
    return {kOk, "application/json", nlohmann::json(run_counts_).dump() + "\n"};
  }
  const auto fault = faults_.NextFault();
  if (fault.is_down) return {kServerError, "text/plain", "down\n"};
  const auto found = call.headers.find("x-run-key");
  const auto run_key = found == call.headers.end() ? "" : found->second;
  int count = 0;
  {
    const std::lock_guard lock(mutex_);
    count = ++run_counts_[run_key];
  }
  std::this_thread::sleep_for(work_time_ + milliseconds(fault.delay_ms));
  // A status of 0 makes the server close the connection.
  if (fault.drops_answer) return {0, "", ""};
  const nlohmann::json answer = {{"path", call.path},
                                 {"run_key", run_key},
                                 {"runs", count},
                                 {"bytes", call.body.size()}};
  return {kOk, "application/json", answer.dump() + "\n"};
}

}  // namespace papayaplank
