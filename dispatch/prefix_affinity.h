// Which target last held a prompt prefix in its cache. Targets announce changes
// late or not at all, so affinity only ranks targets that have free slots.
#ifndef DISPATCH_PREFIX_AFFINITY_H_
#define DISPATCH_PREFIX_AFFINITY_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/base.h"

namespace papayaplank {

// Hash of the leading part of a prompt; zero means that there is none.
using PrefixHash = StrongId<struct PrefixTag, std::uint64_t>;

// The newest target of each prefix, for a bounded number of prefixes.
class PrefixAffinity {
 public:
  // `capacity` is a number of prefixes.
  explicit PrefixAffinity(std::size_t capacity);

  // Records that `target` has computed the prefix or announced that it holds
  // it.
  auto RecordStored(PrefixHash prefix, const TargetId& target) -> void;
  // Records an eviction that the target announced.
  auto RecordEvicted(PrefixHash prefix, const TargetId& target) -> void;
  // Removes the prefixes of a target that has left or restarted.
  auto RemoveTarget(const TargetId& target) -> void;

  auto IsStoredAt(PrefixHash prefix, const TargetId& target) const -> bool;

 private:
  struct Entry {
    PrefixHash prefix;
    TargetId target;
  };

  std::size_t capacity_;
  // Newest first; `index_` holds exactly its prefixes.
  std::list<Entry> entries_;
  std::unordered_map<PrefixHash, std::list<Entry>::iterator> index_;
};

}  // namespace papayaplank

#endif  // DISPATCH_PREFIX_AFFINITY_H_
