// Public header of the placement library: which router owns a target and which
// routers serve a customer. Routers agree without messages, since all of them
// hash the same ids.
#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

#include "placement/rendezvous.h"
#include "placement/target.h"

#endif  // PLACEMENT_PLACEMENT_H_
