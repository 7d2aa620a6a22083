// Public header of the capacity library: the slots of targets, the routers that
// own them, and the leases that lend slots to the routers whose customers have
// received least service.
#ifndef CAPACITY_CAPACITY_H_
#define CAPACITY_CAPACITY_H_

#include "capacity/adaptive_limit.h"
#include "capacity/slot_borrower.h"
#include "capacity/slot_messages.h"
#include "capacity/slot_owner.h"

#endif  // CAPACITY_CAPACITY_H_
