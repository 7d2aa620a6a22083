// Memory of prompt parts and their homes.
#include "admission/prefix_homes.h"

namespace papayaplank {
namespace {

// Parts remembered for each target; the memory of a target holds fewer long
// ones, and forgetting some costs only a less certain choice.
constexpr std::size_t kMaxPartsPerTarget = 512;
// A part that was not used for this long has probably yielded to others.
constexpr Duration kPartLife = seconds(20);

auto LastSharedPart(const std::vector<PromptPart>& parts) -> std::uint64_t {
  if (parts.empty()) return 0;
  return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

}  // namespace

auto PrefixHomes::RecordRead(const TargetId& target,
                             const std::vector<PromptPart>& parts, Time now)
    -> void {
  auto& kept = kept_[target];
  if (kept.size() + parts.size() > kMaxPartsPerTarget) {
    for (auto it = kept.begin(); it != kept.end();) {
      it = now - it->second > kPartLife / 2 ? kept.erase(it) : std::next(it);
    }
    if (kept.size() + parts.size() > kMaxPartsPerTarget) kept.clear();
  }
  for (const auto& part : parts) kept[part.id] = now;
}

auto PrefixHomes::Forget(const TargetId& target) -> void {
  kept_.erase(target);
}

auto PrefixHomes::Missing(const TargetId& target,
                          const std::vector<PromptPart>& parts, bool is_home,
                          Time now) const -> TokensToRead {
  const auto found = kept_.find(target);
  TokensToRead missing;
  auto is_prefix_kept = true;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto is_shared = i + 1 < parts.size();
    auto is_kept = is_home && is_shared;
    if (!is_kept && found != kept_.end()) {
      const auto part = found->second.find(parts[i].id);
      is_kept = part != found->second.end() && now - part->second <= kPartLife;
    }
    is_prefix_kept = is_prefix_kept && is_kept;
    if (is_prefix_kept) continue;
    (is_shared ? missing.shared : missing.own) += parts[i].tokens;
  }
  return missing;
}

auto PrefixHomes::Rank(const TargetId& target,
                       const std::vector<PromptPart>& parts) -> std::uint64_t {
  return StableHash(target.value(), LastSharedPart(parts));
}

}  // namespace papayaplank
