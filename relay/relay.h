// Public header of the relay library: the I/O layer of a router. All sockets
// and all decisions run on one thread, so that relaying a stream event needs no
// thread switch.
#ifndef RELAY_RELAY_H_
#define RELAY_RELAY_H_

#include "relay/event_log.h"
#include "relay/relay_process.h"

#endif  // RELAY_RELAY_H_
