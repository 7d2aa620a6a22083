// Chooses the router addresses that are given to a caller. Load pattern: the
// callers of one customer concentrate on few routers, and some instances can
// carry less load than others.
#ifndef GATEWAY_CALLER_STEERING_H_
#define GATEWAY_CALLER_STEERING_H_

#include <string>
#include <string_view>
#include <vector>

#include "gateway/peer_table.h"

namespace papayaplank {

// Addresses for the caller at the IP address `caller` in data centre `near`,
// the same at every router. In a large data centre these are some of its
// routers, large instances more often than small ones, out of those that don't
// divert callers. If there are fewer than two, those of all data centres count;
// if these are still fewer than two, the diverting ones as well. In a loaded
// fleet (`IsFleetLoaded`) these are included from the start.
auto ChooseCallerAddresses(const std::vector<ServingRouter>& serving,
                           const DataCenterId& near, std::string_view caller)
    -> std::vector<std::string>;

// Whether so many routers divert callers that the fleet as a whole is loaded:
// leaving these out would only overload the others.
auto IsFleetLoaded(const std::vector<ServingRouter>& serving) -> bool;

}  // namespace papayaplank

#endif  // GATEWAY_CALLER_STEERING_H_
