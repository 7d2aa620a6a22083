// Pauses that targets ask for as they turn requests away, and how requests
// begin again afterwards. Load pattern: targets that are briefly out of room
// and say when to come back.
#ifndef ADMISSION_TARGET_PAUSES_H_
#define ADMISSION_TARGET_PAUSES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A target that pauses, for logs and metrics.
struct PausingTarget {
  TargetId target;
  // Time until it takes requests again.
  Duration left{};
  // Requests that went elsewhere or were refused since the pause began.
  std::uint64_t held_back = 0;
};

// A pause that began or ended, to be logged.
struct PauseChange {
  TargetId target;
  // Zero if the pause has ended.
  Duration pause{};
  std::uint64_t held_back = 0;
};

// A pause holds for the router that was told; other routers only hear of it.
// After its end the requests begin again by degrees, twice as many in each
// step, so that a target which has just recovered doesn't get all that waited.
class TargetPauses {
 public:
  // Longer pauses are cut to this: a target that needs more repeats it in its
  // answer to the first request afterwards.
  static constexpr Duration kLongestPause = seconds(120);

  // The target turned a request away and wants nothing for so long. A shorter
  // pause doesn't end a longer one before its time.
  auto RecordPause(const TargetId& target, Duration pause, Time now) -> void;
  // The pause in an answer can't be read.
  auto RecordMalformed() -> void { ++malformed_; }
  // A request is sent to the target.
  auto RecordSend(const TargetId& target) -> void;
  // A request was not sent there because of the pause.
  auto RecordHeldBack(const TargetId& target) -> void;
  // The target left or restarted.
  auto RemoveTarget(const TargetId& target) -> void { entries_.erase(target); }
  // Forgets pauses that are over; called periodically.
  auto Tick(Time now) -> void;

  // Until a request may be sent; zero if one may be sent now.
  auto TimeToSend(const TargetId& target, Time now) const -> Duration;
  // When one more refused request may come back, so that those who come back
  // don't exceed what the target then gets.
  auto PromiseReturn(const TargetId& target, Time now) -> Duration;
  // Whether the target asked for a time that is not over.
  auto IsPausing(const TargetId& target, Time now) const -> bool;
  auto Pausing(Time now) const -> std::vector<PausingTarget>;
  auto is_empty() const -> bool { return entries_.empty(); }
  // Changes since the last call.
  auto TakeChanges() -> std::vector<PauseChange> {
    return std::exchange(changes_, {});
  }
  // Counts since the start.
  auto pauses() const -> std::uint64_t { return pauses_; }
  auto held_back() const -> std::uint64_t { return held_back_; }
  auto malformed() const -> std::uint64_t { return malformed_; }

 private:
  struct Entry {
    Time until{};
    // Requests that were sent since then.
    int sends = 0;
    // Requests that were told to return after it.
    int promises = 0;
    std::uint64_t held_back = 0;
    bool has_ended = false;
  };

  std::unordered_map<TargetId, Entry> entries_;
  std::vector<PauseChange> changes_;
  std::uint64_t pauses_ = 0;
  std::uint64_t held_back_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace papayaplank

#endif  // ADMISSION_TARGET_PAUSES_H_
