// Public header of the membership library: which routers are alive, suspected,
// leaving or dead.
#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include "membership/member.h"
#include "membership/member_list.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
