// Faults that tests inject into a stand-in.
#ifndef STANDINS_FAULT_PLAN_H_
#define STANDINS_FAULT_PLAN_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace papayaplank {

// The faults of one request; the comments give their JSON names. Engines
// inject all of them; the platform and services only `delay_ms`, `swallow` and
// `down`.
struct Fault {
  // `delay_ms`: waits before the answer.
  int delay_ms = 0;
  // `cut_after_bytes`: cuts the answer after this many body bytes; -1 does not
  // cut it.
  int cut_after_bytes = -1;
  // `swallow`: closes the connection without an answer, after it has run the
  // request; an engine does not run it.
  bool drops_answer = false;
  // `silent`: answers nothing and keeps the connection open.
  bool is_silent = false;
  // `silent_after_bytes`: stops sending after this many body bytes and keeps
  // the connection open; -1 sends all of them.
  int silent_after_bytes = -1;
  // `crossed`: answers with another request's id.
  bool has_wrong_request_id = false;
  // `refuse`: refuses to run the request; 503 and X-Papayaplank-Ran: no.
  bool is_refused = false;
  // `down`: answers with a server error without running the request; 503 by the
  // platform, 500 by the others.
  bool is_down = false;
};

// The fault of the next requests; tests set it through POST /admin/fault.
class FaultPlan {
 public:
  // Replaces all faults. `text` is a JSON object of faults and `count`, the
  // number of requests that they apply to; without `count` they apply to all.
  // Returns whether `text` is a JSON object.
  auto Set(const std::string& text) -> bool {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) return false;
    const std::lock_guard lock(mutex_);
    fault_.delay_ms = json.value("delay_ms", 0);
    fault_.cut_after_bytes = json.value("cut_after_bytes", -1);
    fault_.drops_answer = json.value("swallow", false);
    fault_.is_silent = json.value("silent", false);
    fault_.silent_after_bytes = json.value("silent_after_bytes", -1);
    fault_.has_wrong_request_id = json.value("crossed", false);
    fault_.is_refused = json.value("refuse", false);
    fault_.is_down = json.value("down", false);
    remaining_requests_ = json.value("count", -1);
    return true;
  }

  // Returns the fault of the next request and counts the request.
  auto NextFault() -> Fault {
    const std::lock_guard lock(mutex_);
    if (remaining_requests_ == 0) return {};
    if (remaining_requests_ > 0) --remaining_requests_;
    return fault_;
  }

 private:
  std::mutex mutex_;
  Fault fault_;
  // Number of requests that still get `fault_`; negative for no limit.
  int remaining_requests_ = 0;
};

}  // namespace papayaplank

#endif  // STANDINS_FAULT_PLAN_H_
