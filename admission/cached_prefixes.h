// Estimates which prompt parts are in the cache of which target. Load pattern:
// many requests that share long parts, sent by routers that do not see each
// other's requests.
#ifndef ADMISSION_CACHED_PREFIXES_H_
#define ADMISSION_CACHED_PREFIXES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A part of a prompt; requests that share a part give the same id.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;
};

// Tokens of a prompt that are not in a target's cache, so it has to read them
// (prefill).
struct TokensToRead {
  // Of parts that other requests share; work that a better choice of target
  // might avoid.
  double shared = 0;
  // Of the last part, which belongs to the request or its session.
  double own = 0;

  auto total() const -> double { return shared + own; }
};

// Parts that each target has read for this router, bounded in number and age.
// Rendezvous hashing on the last shared part gives all routers the same
// preferred target for it without messages.
class CachedPrefixes {
 public:
  // The target has read these parts.
  auto RecordRead(const TargetId& target, const std::vector<PromptPart>& parts,
                  Time now) -> void;
  // The target left or restarted, so its cache is empty.
  auto RemoveTarget(const TargetId& target) -> void;

  // The tokens that the target has to read. The preferred target is assumed to
  // have all shared parts in its cache.
  auto UncachedTokens(const TargetId& target,
                      const std::vector<PromptPart>& parts, bool is_preferred,
                      Time now) const -> TokensToRead;

  // Score of a target for the last shared part; the targets with the highest
  // scores are preferred.
  static auto PreferenceScore(const TargetId& target,
                              const std::vector<PromptPart>& parts)
      -> std::uint64_t;

 private:
  // When each part was last read, by part id.
  using PartTimes = std::unordered_map<std::uint64_t, Time>;

  std::unordered_map<TargetId, PartTimes> parts_by_target_;
};

}  // namespace papayaplank

#endif  // ADMISSION_CACHED_PREFIXES_H_
