// The verdict on an exit.
#include "routing/target_exits.h"

namespace papayaplank {

auto TargetExits::RecordRemoval(const TargetId& target, Time now) -> void {
  if (removed_at_.size() >= kMaxRemovals) removed_at_.clear();
  removed_at_.try_emplace(target, now);
}

auto TargetExits::Judge(const TargetId& target, bool is_announced,
                        Time ended_at, ExitRow row, Time now) const
    -> ExitVerdict {
  if (row == ExitRow::kOtherProcess) return ExitVerdict::kCrash;
  if (now - ended_at >= times_.report_period) return ExitVerdict::kCrash;
  if (row != ExitRow::kAbsent) return ExitVerdict::kUndecided;
  if (is_announced) return ExitVerdict::kPlanned;
  const auto removed = removed_at_.find(target);
  const auto has_drained = removed != removed_at_.end() &&
                           ended_at - removed->second >= times_.drain_time;
  return has_drained ? ExitVerdict::kPlanned : ExitVerdict::kCrash;
}

}  // namespace papayaplank
