// Keeps sums up to date as the loads of a source are replaced.
#include "gateway/load_sums.h"

#include <utility>

namespace papayaplank {
namespace {

// Loads of a source are ignored if no message confirmed them for this long:
// several of the longest report periods.
constexpr Duration kSourceTimeout = milliseconds(1500);

}  // namespace

auto LoadSums::Add(const TargetLoads& loads, int sign) -> void {
  for (const auto& [target, share] : loads) {
    auto& sum = sums_[target];
    // Messages carry whole numbers, so the sums are exact.
    sum.queued_tokens += sign * share.queued_tokens;
    sum.requests += sign * share.requests;
    sum.memory_tokens += sign * share.memory_tokens;
    if (sum.requests == 0 && sum.queued_tokens == 0 && sum.memory_tokens == 0) {
      sums_.erase(target);
    }
    changed_.insert(target);
  }
}

auto LoadSums::Replace(const RouterId& source, TargetLoads loads, Time now)
    -> void {
  auto& known = sources_[source];
  Add(loads, 1);
  Add(known.loads, -1);
  known.loads = std::move(loads);
  known.received_at = now;
}

auto LoadSums::DropSilent(Time now) -> void {
  for (auto source = sources_.begin(); source != sources_.end();) {
    if (now - source->second.received_at <= kSourceTimeout) {
      ++source;
      continue;
    }
    Add(source->second.loads, -1);
    source = sources_.erase(source);
  }
}

auto LoadSums::Clear() -> void {
  for (const auto& [target, sum] : sums_) changed_.insert(target);
  sums_.clear();
  sources_.clear();
}

auto LoadSums::Sum(std::uint32_t target) const -> LoadShare {
  const auto found = sums_.find(target);
  return found == sums_.end() ? LoadShare{} : found->second;
}

auto LoadSums::All() const -> TargetLoads {
  return TargetLoads(sums_.begin(), sums_.end());
}

auto LoadSums::TakeChanged() -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

}  // namespace papayaplank
