// Rendezvous hashing over the active members: owners of targets and home
// routers of customers. When a member joins or leaves, only its own share
// moves.
#ifndef PLACEMENT_RENDEZVOUS_H_
#define PLACEMENT_RENDEZVOUS_H_

#include <optional>
#include <vector>

#include "membership/membership.h"
#include "placement/target.h"

namespace papayaplank {

// The router that owns the slots of `target`: the highest-ranked member of the
// target's data centre, or else of its region, or else of the fleet. None if
// there are no members.
auto ChooseOwner(const TargetInfo& target, const std::vector<Member>& members)
    -> std::optional<RouterId>;

// The routers that serve `customer`, `size` at most. Members of `data_center`
// come first.
auto ChooseHomeRouters(const CustomerId& customer,
                       const DataCenterId& data_center, std::size_t size,
                       const std::vector<Member>& members)
    -> std::vector<Member>;

}  // namespace papayaplank

#endif  // PLACEMENT_RENDEZVOUS_H_
