// Which targets keep which parts of prompts. Load pattern: many requests that
// share long parts, sent by routers that do not see each other's requests.
#ifndef ADMISSION_CACHED_PREFIXES_H_
#define ADMISSION_CACHED_PREFIXES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A part of a prompt; requests that share a part name the same id.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;
};

// Tokens of a prompt that a target has to read.
struct TokensToRead {
  // Of parts that other requests share; reading them again is waste.
  double shared = 0;
  // Of the last part, which belongs to the request or its session.
  double own = 0;

  auto total() const -> double { return shared + own; }
};

// Parts that this router has sent to each target, bounded and aged. Rendezvous
// hashing on the last shared part gives all routers the same home for it
// without a message.
class CachedPrefixes {
 public:
  // Remembers that the target has read these parts.
  auto RecordRead(const TargetId& target, const std::vector<PromptPart>& parts,
                  Time now) -> void;
  // A target that left or started anew keeps nothing.
  auto RemoveTarget(const TargetId& target) -> void;

  // What the target has to read. A home is taken to keep all shared parts.
  auto UncachedTokens(const TargetId& target,
                      const std::vector<PromptPart>& parts, bool is_preferred,
                      Time now) const -> TokensToRead;

  // Rank of a target for the last shared part; the highest is its home.
  static auto PreferenceScore(const TargetId& target,
                              const std::vector<PromptPart>& parts)
      -> std::uint64_t;

 private:
  using PartTimes = std::unordered_map<std::uint64_t, Time>;

  std::unordered_map<TargetId, PartTimes> parts_by_target_;
};

}  // namespace papayaplank

#endif  // ADMISSION_CACHED_PREFIXES_H_
