// Public header of the relay library: the sockets of a router. One task owns
// them all and the decisions too, so that an event of a stream crosses no
// thread.
#ifndef RELAY_RELAY_H_
#define RELAY_RELAY_H_

#include "relay/event_log.h"
#include "relay/relay_process.h"

#endif  // RELAY_RELAY_H_
