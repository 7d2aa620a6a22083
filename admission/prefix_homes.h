// Which targets keep which parts of prompts. Load pattern: many requests that
// share long parts, sent by routers that do not see each other's requests.
#ifndef ADMISSION_PREFIX_HOMES_H_
#define ADMISSION_PREFIX_HOMES_H_

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
class PrefixHomes {
 public:
  // Remembers that the target has read these parts.
  auto RecordRead(const TargetId& target, const std::vector<PromptPart>& parts,
                  Time now) -> void;
  // A target that left or started anew keeps nothing.
  auto Forget(const TargetId& target) -> void;

  // What the target has to read. A home is taken to keep all shared parts.
  auto Missing(const TargetId& target, const std::vector<PromptPart>& parts,
               bool is_home, Time now) const -> TokensToRead;

  // Rank of a target for the last shared part; the highest is its home.
  static auto Rank(const TargetId& target, const std::vector<PromptPart>& parts)
      -> std::uint64_t;

 private:
  using Kept = std::unordered_map<std::uint64_t, Time>;

  std::unordered_map<TargetId, Kept> kept_;
};

}  // namespace papayaplank

#endif  // ADMISSION_PREFIX_HOMES_H_
