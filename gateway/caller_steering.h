// Which routers a caller is told to use. Load pattern: a customer's callers
// gather at few routers, and some instances carry less than others.
#ifndef GATEWAY_CALLER_STEERING_H_
#define GATEWAY_CALLER_STEERING_H_

#include <string>
#include <vector>

#include "gateway/peer_table.h"

namespace papayaplank {

// Addresses for a caller: routers of its own data centre that keep up, as long
// as there are at least two; else more and more of the others.
auto ChooseCallerAddresses(const std::vector<ServingRouter>& serving,
                           const DataCenterId& near)
    -> std::vector<std::string>;

// Whether so many routers should be spared that the fleet as a whole is
// loaded: then sparing some would only overload the others.
auto IsFleetLoaded(const std::vector<ServingRouter>& serving) -> bool;

}  // namespace papayaplank

#endif  // GATEWAY_CALLER_STEERING_H_
