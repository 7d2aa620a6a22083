// Public header of the router library: all decisions of one router. The core is
// deterministic: it takes inputs and the time, returns commands, and uses no
// socket, thread or clock.
#ifndef ROUTER_ROUTER_H_
#define ROUTER_ROUTER_H_

#include "router/core_messages.h"
#include "router/peer_codec.h"
#include "router/peer_messages.h"
#include "router/router_core.h"

#endif  // ROUTER_ROUTER_H_
