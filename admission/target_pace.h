// How fast a target that has just started or recovered is given requests.
// Load pattern: many routers have work for a target that comes back, and none
// knows what it can take. Without a pace they overload it at once, or leave it
// idle for as long as each of them waits to be sure.
//
// The rate is found from answers only. It is kept by the router that owns the
// target's permits; the other routers send it their counts of answers.
#ifndef ADMISSION_TARGET_PACE_H_
#define ADMISSION_TARGET_PACE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/target_limits.h"
#include "base/base.h"

namespace papayaplank {

// Answers of a target since the sender's last sample.
struct PaceSample {
  // First token in time.
  std::uint32_t good = 0;
  // First token much later than forecast.
  std::uint32_t late = 0;
  // Turned away by the target: it has no room.
  std::uint32_t refused = 0;
  // Errors, broken connections and requests that timed out.
  std::uint32_t failed = 0;
};

// Why a pace began, was lowered or ended.
enum class PaceCause {
  kBegan,    // The target started, recovered or came back.
  kErrors,   // Lowered: refusals and failures.
  kLate,     // Lowered: answers later than forecast.
  kUnbound,  // Ended: all answers are good, and fewer than the rate allows.
  kSilent,   // Ended: no answer for `TargetPace::kLongestSilence`.
  kExpired,  // Ended: mostly sound for `TargetPace::kLongestPace`.
};

auto PaceCauseName(PaceCause cause) -> std::string_view;

// A change of a pace, to be logged.
struct PaceChange {
  TargetId target;
  PaceCause cause = PaceCause::kBegan;
  // Requests per second; zero before the pace began and after it ended.
  double before = 0;
  double now = 0;
  // Answers that decided it, and the time in which they arrived.
  PaceSample answers;
  Duration span{};
};

// Rates by target. The rate doubles while the target answers in time at that
// rate, and is set below what the target delivers when it does not.
class TargetPace {
 public:
  // The first rate, requests per second. About a third of what an engine of a
  // busy fleet gets (25 requests/s), and what a plain service of 6 slots can
  // work off within a second or two.
  static constexpr double kStartRate = 8;
  // The rate does not fall below this one, at which a target that only fails is
  // tried.
  static constexpr double kLeastRate = 2;
  // With each second without answers the rate halves, until the next one.
  static constexpr Duration kSilenceStep = seconds(1);
  static constexpr Duration kLongestSilence = seconds(10);
  // The pace ends after this time with good answers only, all of them fewer
  // than the rate allows. Longer than most first tokens take, since answers lag
  // behind a raise of the rate by that time.
  static constexpr Duration kUnboundTime = seconds(3);
  // The pace ends after this time in which no round consisted mostly of errors.
  // By then the forecasts of the routers know the target.
  static constexpr Duration kLongestPace = seconds(30);
  // The target is reported to have begun by several routers; what comes within
  // this time is a copy.
  static constexpr Duration kCopyTime = seconds(2);
  // Answers that arrive sooner may be those of requests before the start.
  static constexpr Duration kStaleTime = milliseconds(500);
  // A router owns far fewer starting targets; others get no pace.
  static constexpr std::size_t kMostTargets = 4096;

  // The target has started, recovered or come back.
  auto Begin(const TargetId& target, Time now) -> void;
  // Answers of the target arrived at some router. Without a pace, they count
  // for nothing.
  auto RecordAnswers(const TargetId& target, const PaceSample& sample, Time now)
      -> void;
  auto RemoveTarget(const TargetId& target) -> void { entries_.erase(target); }
  // Ends what is over; called periodically.
  auto Tick(Time now) -> void;

  // The rate at which all routers together may send to the target; nothing if
  // no pace binds.
  auto Find(const TargetId& target, Time now) const
      -> std::optional<RequestRate>;
  auto is_any_paced() const -> bool { return !entries_.empty(); }
  auto size() const -> std::size_t { return entries_.size(); }
  // Changes since the last call. Raises are not among them.
  auto TakeChanges() -> std::vector<PaceChange> {
    return std::exchange(changes_, {});
  }
  // Paces that began since the start of the process.
  auto begun() const -> std::uint64_t { return begun_; }

 private:
  // Lateness that outlasts this many cuts may have another cause than the rate,
  // such as a wrong forecast. The rate rises again to find out; after each vain
  // trial, twice as many cuts come first.
  static constexpr int kMostLateCuts = 2;

  struct Entry {
    // At least `kLeastRate`.
    double rate = kStartRate;
    // Up to here the rate grows slowly, above it doubles: set from what the
    // target delivered when the rate was last lowered. Zero if it never was.
    double careful_until = 0;
    Time began_at{};
    // Of the newest answer.
    Time heard_at{};
    // The pace began, or most answers of a round were errors.
    Time error_at{};
    // Answers of the round in progress.
    Time round_at{};
    PaceSample answers;
    // Since when all answers were good and fewer than the rate allows.
    std::optional<Time> unbound_since;
    // Since the last round that was not late: when the rate was last lowered
    // for late answers, how often, and the most that the target delivered then.
    Time late_at{};
    int late_cuts = 0;
    // Cuts before the next trial.
    int most_late_cuts = kMostLateCuts;
    double late_base = 0;
    // Late answers have another cause than the rate.
    bool is_lateness_usual = false;
  };

  // Ends the round in progress if it is long enough, and draws its conclusion.
  auto EndRound(const TargetId& target, Entry& entry, Time now) -> void;
  auto HandleLateness(const TargetId& target, Entry& entry, double delivered,
                      Time now) -> void;
  auto Raise(Entry& entry, double delivered, Time now) -> void;
  auto Lower(const TargetId& target, Entry& entry, PaceCause cause,
             double delivered, Time now) -> void;
  auto FindEnd(const Entry& entry, Time now) const -> std::optional<PaceCause>;
  auto RateNow(const Entry& entry, Time now) const -> double;

  std::unordered_map<TargetId, Entry> entries_;
  std::vector<PaceChange> changes_;
  std::uint64_t begun_ = 0;
};

}  // namespace papayaplank

#endif  // ADMISSION_TARGET_PACE_H_
