// Public header of the base library: typed ids and units, results with errors,
// a message queue, hashing and random numbers. It depends on no other library
// of the project.
#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/hash.h"
#include "base/mailbox.h"
#include "base/outcome.h"
#include "base/random.h"
#include "base/staggered_turns.h"
#include "base/strong_id.h"
#include "base/units.h"

#endif  // BASE_BASE_H_
