// Public header of the placement library: which router is responsible for
// what. It agrees without messages, since all members hash the same names.
#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

#include "placement/rendezvous.h"
#include "placement/target.h"

#endif  // PLACEMENT_PLACEMENT_H_
