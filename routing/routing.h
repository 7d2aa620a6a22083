// Public header of the routing library: which service a request belongs to,
// whose key it carries, and which targets serve it now.
#ifndef ROUTING_ROUTING_H_
#define ROUTING_ROUTING_H_

#include "routing/key_validity.h"
#include "routing/routing_table.h"
#include "routing/store_continuity.h"
#include "routing/target_directory.h"

#endif  // ROUTING_ROUTING_H_
