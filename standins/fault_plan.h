// Faults that tests ask a stand-in to make.
#ifndef STANDINS_FAULT_PLAN_H_
#define STANDINS_FAULT_PLAN_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace papayaplank {

// What to do with one request.
struct Fault {
  int delay_ms = 0;
  // Cut the answer after so many body bytes; -1 for not at all.
  int cut_after_bytes = -1;
  // Take effect, then close without an answer.
  bool is_swallowed = false;
  // Answer nothing and keep the connection open.
  bool is_silent = false;
  // Go silent after so many body bytes; -1 for not at all.
  int silent_after_bytes = -1;
  // Answer with another request's id.
  bool is_crossed = false;
  // Refuse before work: 503 and X-Papayaplank-Ran: no.
  bool is_refused = false;
  // Answer 500 without effect.
  bool is_down = false;
};

// The fault for the next requests; tests set it through POST /admin/fault.
class FaultPlan {
 public:
  // `text` has the members of `Fault` and `count`, the number of requests
  // that it applies to; without `count` it stays.
  auto Set(const std::string& text) -> bool {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) return false;
    const std::lock_guard lock(mutex_);
    fault_.delay_ms = json.value("delay_ms", 0);
    fault_.cut_after_bytes = json.value("cut_after_bytes", -1);
    fault_.is_swallowed = json.value("swallow", false);
    fault_.is_silent = json.value("silent", false);
    fault_.silent_after_bytes = json.value("silent_after_bytes", -1);
    fault_.is_crossed = json.value("crossed", false);
    fault_.is_refused = json.value("refuse", false);
    fault_.is_down = json.value("down", false);
    left_ = json.value("count", -1);
    return true;
  }

  auto Take() -> Fault {
    const std::lock_guard lock(mutex_);
    if (left_ == 0) return {};
    if (left_ > 0) --left_;
    return fault_;
  }

 private:
  std::mutex mutex_;
  Fault fault_;
  int left_ = 0;
};

}  // namespace papayaplank

#endif  // STANDINS_FAULT_PLAN_H_
