// Prefixes and their targets, evicted in least-recently-used order.
#include "dispatch/prefix_affinity.h"

namespace papayaplank {

PrefixAffinity::PrefixAffinity(std::size_t capacity) : capacity_(capacity) {}

auto PrefixAffinity::RecordStored(PrefixHash prefix, const TargetId& target)
    -> void {
  if (prefix.is_empty()) return;
  const auto found = index_.find(prefix);
  if (found != index_.end()) {
    found->second->target = target;
    entries_.splice(entries_.begin(), entries_, found->second);
    return;
  }
  entries_.push_front({prefix, target});
  index_[prefix] = entries_.begin();
  if (entries_.size() <= capacity_) return;
  index_.erase(entries_.back().prefix);
  entries_.pop_back();
}

auto PrefixAffinity::RecordEvicted(PrefixHash prefix, const TargetId& target)
    -> void {
  if (!IsStoredAt(prefix, target)) return;
  const auto found = index_.find(prefix);
  entries_.erase(found->second);
  index_.erase(found);
}

auto PrefixAffinity::RemoveTarget(const TargetId& target) -> void {
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->target != target) {
      ++it;
      continue;
    }
    index_.erase(it->prefix);
    it = entries_.erase(it);
  }
}

auto PrefixAffinity::IsStoredAt(PrefixHash prefix, const TargetId& target) const
    -> bool {
  const auto found = index_.find(prefix);
  return found != index_.end() && found->second->target == target;
}

}  // namespace papayaplank
