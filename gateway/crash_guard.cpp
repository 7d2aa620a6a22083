// Starting attempts that broke off, and their confirmation.
#include "gateway/crash_guard.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

// A fatal prompt crashes its target within this time of the first part of the
// answer; an answer that goes on for longer is sound.
constexpr Duration kFatalRunTime = milliseconds(500);
// A crash that is not confirmed within this time was none. The row of a lost
// target is gone by then.
constexpr Duration kConfirmTime = seconds(5);
// How long further answers of a crashed process may still break off.
constexpr Duration kCrashMemory = seconds(10);

// Names a process of a target; the same at all routers.
auto ProcessHash(const TargetRow& target) -> std::uint64_t {
  return StableHash(target.id.value(),
                    static_cast<std::uint64_t>(target.started_unix_ms));
}

}  // namespace

auto CrashGuard::StartAttempt(const Placement& placement,
                              const std::vector<PromptPart>& parts, Time now)
    -> void {
  Attempt attempt;
  attempt.target = placement.target.id;
  attempt.process = ProcessHash(placement.target);
  attempt.parts = SharedParts(parts);
  attempt.started_at = now;
  attempts_.emplace(placement.attempt, std::move(attempt));
}

auto CrashGuard::RecordOutput(AttemptId id, Time now) -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (!attempt.began_at) attempt.began_at = now;
  if (attempt.is_sound || now - *attempt.began_at < kFatalRunTime) return;
  attempt.is_sound = true;
  quarantine_.RecordSoundRun(attempt.parts, *attempt.began_at, now);
}

auto CrashGuard::EndAttempt(AttemptId id, AttemptOutcome outcome, Time now)
    -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto attempt = std::move(found->second);
  attempts_.erase(found);
  if (attempt.is_sound) return;
  if (outcome == AttemptOutcome::kComplete) {
    const auto began_at = attempt.began_at.value_or(attempt.started_at);
    return quarantine_.RecordSoundRun(attempt.parts, began_at, now);
  }
  if (outcome == AttemptOutcome::kBroken) RecordBreak(attempt, now);
  if (outcome == AttemptOutcome::kNotReached) {
    RecordUnreachable(attempt.target, now);
  }
}

auto CrashGuard::RecordBreak(const Attempt& attempt, Time now) -> void {
  const std::set<PartId> parts(attempt.parts.begin(), attempt.parts.end());
  const auto crashed = crashed_.find(attempt.process);
  if (crashed != crashed_.end()) {
    return quarantine_.RecordCrash(attempt.process, parts, crashed->second,
                                   now);
  }
  auto& broken = breaks_[attempt.target];
  if (broken.process != attempt.process) {
    broken = Break{attempt.process, {}, now};
  }
  broken.parts.insert(parts.begin(), parts.end());
}

auto CrashGuard::IsAnswering(std::uint64_t process) const -> bool {
  return std::any_of(
      attempts_.begin(), attempts_.end(), [process](const auto& entry) {
        return entry.second.process == process && entry.second.began_at;
      });
}

auto CrashGuard::RecordUnreachable(const TargetId& target, Time now) -> void {
  const auto found = breaks_.find(target);
  if (found == breaks_.end()) return;
  // A target at its limit of connections may turn away new ones.
  if (IsAnswering(found->second.process)) return;
  const auto broken = std::move(found->second);
  breaks_.erase(found);
  ++confirmed_;
  crashed_[broken.process] = broken.at;
  new_crashes_.push_back({target, broken.parts});
  quarantine_.RecordCrash(broken.process, broken.parts, broken.at, now);
}

auto CrashGuard::RecordPause() -> void {
  quarantine_.RecordPause();
  // How long their answers have run is unknown.
  for (auto& [id, attempt] : attempts_) attempt.began_at.reset();
}

auto CrashGuard::Tick(Time now) -> void {
  std::erase_if(breaks_, [now](const auto& entry) {
    return now - entry.second.at > kConfirmTime;
  });
  std::erase_if(crashed_, [now](const auto& entry) {
    return now - entry.second > kCrashMemory;
  });
  quarantine_.Tick(now);
}

}  // namespace papayaplank
