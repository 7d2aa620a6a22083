// Rendezvous hashing over the live members: home sets of customers and owners
// of targets. When one member changes, only its own share moves.
#ifndef PLACEMENT_RENDEZVOUS_H_
#define PLACEMENT_RENDEZVOUS_H_

#include <optional>
#include <vector>

#include "membership/membership.h"
#include "placement/target.h"

namespace papayaplank {

// The router that owns the slots of `target`: the highest-ranked member of
// the target's data centre, else of its region, else of the fleet.
auto ChooseOwner(const TargetInfo& target, const std::vector<Member>& members)
    -> std::optional<RouterId>;

// The `size` routers that serve `customer`, members near `data_center` first.
auto ChooseHomeRouters(const CustomerId& customer,
                       const DataCenterId& data_center, std::size_t size,
                       const std::vector<Member>& members)
    -> std::vector<Member>;

}  // namespace papayaplank

#endif  // PLACEMENT_RENDEZVOUS_H_
