// Choice among the targets where this router has a free slot.
#ifndef DISPATCH_TARGET_CHOOSER_H_
#define DISPATCH_TARGET_CHOOSER_H_

#include <optional>
#include <vector>

#include "dispatch/prefix_affinity.h"

namespace papayaplank {

// A target with a free slot of the wanted kind.
struct Candidate {
  TargetId target;
  bool is_same_data_center = false;
  int free_slots = 0;
  // Whether an earlier attempt of the same request failed there.
  bool has_failed_before = false;
};

// Chooses the best candidate. In order of importance: no failed attempt of this
// request before, in this router's data centre, prefix in the cache, most free
// slots.
auto ChooseTarget(const std::vector<Candidate>& candidates, PrefixHash prefix,
                  const PrefixAffinity& affinity) -> std::optional<TargetId>;

}  // namespace papayaplank

#endif  // DISPATCH_TARGET_CHOOSER_H_
