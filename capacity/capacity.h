// Public header of the capacity library: slots of targets, their owners, and
// the leases by which slots move to the routers whose customers are behind.
#ifndef CAPACITY_CAPACITY_H_
#define CAPACITY_CAPACITY_H_

#include "capacity/adaptive_limit.h"
#include "capacity/slot_borrower.h"
#include "capacity/slot_messages.h"
#include "capacity/slot_owner.h"

#endif  // CAPACITY_CAPACITY_H_
