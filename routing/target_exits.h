// Tells whether a target's process that has ended exited as planned or crashed.
// The system ends the connections of both in the same way.
#ifndef ROUTING_TARGET_EXITS_H_
#define ROUTING_TARGET_EXITS_H_

#include <optional>
#include <unordered_map>

#include "base/base.h"

namespace papayaplank {

// Times that the platform guarantees for its targets.
struct ExitTimes {
  // Interval of a target's reports to the store. The row of a crashed target
  // stays for several of them.
  Duration report_period = milliseconds(1200);
  // A target that leaves serves on for at least this long.
  Duration drain_time = milliseconds(2000);
};

// The target's row in the store, as read after its process ended.
enum class ExitRow {
  kPresent,
  kAbsent,
  kOtherProcess,  // A later process has registered under the id.
  kUnknown,       // The store didn't answer, or its rows may be incomplete.
};

enum class ExitVerdict {
  kPlanned,
  kCrash,
  kUndecided,  // The row is to be read again.
};

// A planned exit either is announced, and then the row is removed when the
// process has ended; or the row is removed first, and the process ends when it
// has drained.
class TargetExits {
 public:
  explicit TargetExits(ExitTimes times) : times_(times) {}

  auto RecordRemoval(const TargetId& target, Time now) -> void;
  auto RecordReturn(const TargetId& target) -> void {
    removed_at_.erase(target);
  }
  auto IsRemoved(const TargetId& target) const -> bool {
    return removed_at_.count(target) != 0;
  }
  // Judges a process that ended at `ended_at` by its row as known at `now`.
  auto Judge(const TargetId& target, bool is_announced, Time ended_at,
             ExitRow row, Time now) const -> ExitVerdict;

 private:
  // Beyond it, all removals are forgotten.
  static constexpr std::size_t kMaxRemovals = 4096;

  ExitTimes times_;
  // When this router learned that the row was removed.
  std::unordered_map<TargetId, Time> removed_at_;
};

}  // namespace papayaplank

#endif  // ROUTING_TARGET_EXITS_H_
