// Counts requests after a pause against what the target may get by then.
#include "admission/target_pauses.h"

#include <algorithm>

namespace papayaplank {
namespace {

// After a pause one request may be sent at once. With each step the total
// doubles, until the pause is forgotten.
constexpr Duration kStep = milliseconds(100);
constexpr int kSteps = 7;

// Requests that may be sent until this long after the end of a pause.
auto Allowance(Duration since_end) -> int {
  return 1 << std::min<Duration::rep>(kSteps, since_end / kStep);
}

// When after the end of a pause one more request than `count` may be sent.
auto TimeOfNext(int count) -> Duration {
  int step = 0;
  while (step < kSteps && (1 << step) <= count) ++step;
  return kStep * step;
}

}  // namespace

auto TargetPauses::RecordPause(const TargetId& target, Duration pause, Time now)
    -> void {
  if (pause <= Duration{}) return;
  const auto until = now + std::min<Duration>(pause, kLongestPause);
  auto& entry = entries_[target];
  ++pauses_;
  if (until <= entry.until) return;
  if (entry.until <= now) {
    entry = {};
    changes_.push_back({target, until - now, 0});
  }
  entry.until = until;
}

auto TargetPauses::RecordSend(const TargetId& target) -> void {
  const auto found = entries_.find(target);
  if (found != entries_.end()) ++found->second.sends;
}

auto TargetPauses::RecordHeldBack(const TargetId& target) -> void {
  const auto found = entries_.find(target);
  if (found == entries_.end()) return;
  ++found->second.held_back;
  ++held_back_;
}

auto TargetPauses::Tick(Time now) -> void {
  for (auto& [target, entry] : entries_) {
    if (entry.has_ended || now < entry.until) continue;
    entry.has_ended = true;
    changes_.push_back({target, Duration{}, entry.held_back});
  }
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.until > kSteps * kStep;
  });
}

auto TargetPauses::TimeToSend(const TargetId& target, Time now) const
    -> Duration {
  const auto found = entries_.find(target);
  if (found == entries_.end()) return Duration{};
  const auto& entry = found->second;
  if (now < entry.until) return entry.until - now;
  const auto since_end = now - entry.until;
  if (since_end > kSteps * kStep || entry.sends < Allowance(since_end)) {
    return Duration{};
  }
  return std::max(Duration{}, TimeOfNext(entry.sends) - since_end);
}

auto TargetPauses::PromiseReturn(const TargetId& target, Time now) -> Duration {
  const auto found = entries_.find(target);
  if (found == entries_.end()) return Duration{};
  auto& entry = found->second;
  const auto at = entry.until + TimeOfNext(entry.promises++);
  return std::max<Duration>(TimeToSend(target, now), at - now);
}

auto TargetPauses::IsPausing(const TargetId& target, Time now) const -> bool {
  const auto found = entries_.find(target);
  return found != entries_.end() && now < found->second.until;
}

auto TargetPauses::Pausing(Time now) const -> std::vector<PausingTarget> {
  std::vector<PausingTarget> pausing;
  for (const auto& [target, entry] : entries_) {
    if (now >= entry.until) continue;
    pausing.push_back({target, entry.until - now, entry.held_back});
  }
  return pausing;
}

}  // namespace papayaplank
