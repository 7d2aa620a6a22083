// Tracks the prompt parts sent to targets and ranks targets by hash.
#include "admission/cached_prefixes.h"

namespace papayaplank {
namespace {

// Parts tracked per target. The memory of a target holds fewer parts than this
// if they are long, and dropping some only makes the choice of targets less
// exact.
constexpr std::size_t kMaxPartsPerTarget = 512;
// A part that was not used for this long has probably been evicted.
constexpr Duration kPartLifetime = seconds(20);

// Id of the part before the last one, as the last one belongs to the request
// itself. If there is only one part, its id; if there is none, 0.
auto LastSharedPart(const std::vector<PromptPart>& parts) -> std::uint64_t {
  if (parts.empty()) return 0;
  return parts.size() == 1 ? parts.front().id : parts[parts.size() - 2].id;
}

}  // namespace

auto CachedPrefixes::RecordRead(const TargetId& target,
                                const std::vector<PromptPart>& parts, Time now)
    -> void {
  auto& parts_read = parts_by_target_[target];
  if (parts_read.size() + parts.size() > kMaxPartsPerTarget) {
    for (auto it = parts_read.begin(); it != parts_read.end();) {
      it = now - it->second > kPartLifetime / 2 ? parts_read.erase(it)
                                                : std::next(it);
    }
    if (parts_read.size() + parts.size() > kMaxPartsPerTarget) {
      parts_read.clear();
    }
  }
  for (const auto& part : parts) parts_read[part.id] = now;
}

auto CachedPrefixes::RemoveTarget(const TargetId& target) -> void {
  parts_by_target_.erase(target);
}

auto CachedPrefixes::UncachedTokens(const TargetId& target,
                                    const std::vector<PromptPart>& parts,
                                    bool is_preferred, Time now) const
    -> TokensToRead {
  const auto found = parts_by_target_.find(target);
  TokensToRead uncached;
  auto is_prefix_cached = true;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto is_shared = i + 1 < parts.size();
    auto is_cached = is_preferred && is_shared;
    if (!is_cached && found != parts_by_target_.end()) {
      const auto part = found->second.find(parts[i].id);
      is_cached =
          part != found->second.end() && now - part->second <= kPartLifetime;
    }
    is_prefix_cached = is_prefix_cached && is_cached;
    if (is_prefix_cached) continue;
    (is_shared ? uncached.shared : uncached.own) += parts[i].tokens;
  }
  return uncached;
}

auto CachedPrefixes::PreferenceScore(const TargetId& target,
                                     const std::vector<PromptPart>& parts)
    -> std::uint64_t {
  return StableHash(target.value(), LastSharedPart(parts));
}

}  // namespace papayaplank
