// Public header of the base library: strong ids and units, outcome values,
// hashing and seeded random numbers. It depends on no other library here.
#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/hash.h"
#include "base/mailbox.h"
#include "base/outcome.h"
#include "base/random.h"
#include "base/strong_id.h"
#include "base/units.h"

#endif  // BASE_BASE_H_
