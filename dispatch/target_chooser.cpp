// Ranking of candidate targets.
#include "dispatch/target_chooser.h"

#include <tuple>

namespace papayaplank {

auto ChooseTarget(const std::vector<Candidate>& candidates, PrefixHash prefix,
                  const PrefixAffinity& affinity) -> std::optional<TargetId> {
  const Candidate* best = nullptr;
  const auto rank = [&](const Candidate& each) {
    const auto is_cached =
        !prefix.is_empty() && affinity.IsStoredAt(prefix, each.target);
    return std::tuple(!each.has_failed_before, each.is_same_data_center,
                      is_cached, each.free_slots);
  };
  for (const auto& each : candidates) {
    if (best == nullptr || rank(each) > rank(*best)) best = &each;
  }
  if (best == nullptr) return std::nullopt;
  return best->target;
}

}  // namespace papayaplank
