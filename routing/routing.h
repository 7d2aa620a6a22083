// Public header of the routing library: finds the service of a request, the
// customer of its key, and the targets that serve it now.
#ifndef ROUTING_ROUTING_H_
#define ROUTING_ROUTING_H_

#include "routing/evacuations.h"
#include "routing/key_validity.h"
#include "routing/routing_table.h"
#include "routing/store_continuity.h"
#include "routing/store_eras.h"
#include "routing/target_directory.h"
#include "routing/target_exits.h"

#endif  // ROUTING_ROUTING_H_
