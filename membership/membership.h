// Public header of the membership library: who is alive, suspected, leaving.
#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include "membership/member.h"
#include "membership/member_list.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
