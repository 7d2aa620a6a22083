// Watches the attempts of this router for targets that crash, and passes on the
// prompt parts that they were starting on as evidence.
#ifndef GATEWAY_CRASH_GUARD_H_
#define GATEWAY_CRASH_GUARD_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "gateway/request.h"
#include "routing/routing.h"

namespace papayaplank {

// A confirmed crash of a target, and the prompt parts that this router had
// starting there.
struct TargetCrash {
  TargetId target;
  std::set<PartId> parts;
};

// An answer that breaks off shows no crash by itself: the network or a fault of
// the answer may have broken it. The crash is confirmed when the target accepts
// no new connection, or its row shows a restart.
class CrashGuard {
 public:
  explicit CrashGuard(std::uint64_t seed) : quarantine_(seed) {}

  // An attempt of a request with a prompt was sent to a target.
  auto StartAttempt(const Placement& placement,
                    const std::vector<PromptPart>& parts, Time now) -> void;
  // A part of the answer arrived.
  auto RecordOutput(AttemptId attempt, Time now) -> void;
  auto EndAttempt(AttemptId attempt, AttemptOutcome outcome, Time now) -> void;

  // Whether the target may have crashed, so that it should be found out if it
  // accepts connections.
  auto ShouldCheck(const TargetId& target) const -> bool {
    return breaks_.count(target) != 0;
  }
  auto RecordReachable(const TargetId& target) -> void {
    breaks_.erase(target);
  }
  // The target accepts no connection, or has restarted.
  auto RecordUnreachable(const TargetId& target, Time now) -> void;
  // The process was paused for an unknown time.
  auto RecordPause() -> void;
  auto Tick(Time now) -> void;

  // Crashes since the last call, for the log.
  auto TakeCrashes() -> std::vector<TargetCrash> {
    return std::exchange(new_crashes_, {});
  }

  auto quarantine() -> PartQuarantine& { return quarantine_; }
  auto quarantine() const -> const PartQuarantine& { return quarantine_; }
  // Crashes of targets that this router has confirmed.
  auto confirmed_crashes() const -> std::uint64_t { return confirmed_; }

 private:
  struct Attempt {
    TargetId target;
    std::uint64_t process = 0;
    std::vector<PartId> parts;
    Time started_at{};
    // First part of the answer.
    std::optional<Time> began_at;
    // The answer went on for long after that.
    bool is_sound = false;
  };
  // Answers of one process that broke off while they were starting.
  struct Break {
    std::uint64_t process = 0;
    std::set<PartId> parts;
    Time at{};
  };

  auto RecordBreak(const Attempt& attempt, Time now) -> void;
  // Whether an answer of the process is arriving.
  auto IsAnswering(std::uint64_t process) const -> bool;

  PartQuarantine quarantine_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  // Not confirmed yet.
  std::unordered_map<TargetId, Break> breaks_;
  // Processes with a confirmed crash, and when it was.
  std::unordered_map<std::uint64_t, Time> crashed_;
  std::vector<TargetCrash> new_crashes_;
  std::uint64_t confirmed_ = 0;
};

}  // namespace papayaplank

#endif  // GATEWAY_CRASH_GUARD_H_
