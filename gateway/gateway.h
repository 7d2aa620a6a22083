// Public header of the gateway library: all decisions of one router on the
// path from a caller to a target. It uses no sockets, threads or clocks.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include "gateway/caller_steering.h"
#include "gateway/config_watch.h"
#include "gateway/evacuation_news.h"
#include "gateway/fleet_exchange.h"
#include "gateway/gateway_core.h"
#include "gateway/load_sums.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"
#include "gateway/placement_policy.h"
#include "gateway/report_schedule.h"
#include "gateway/request.h"
#include "gateway/router_state.h"
#include "gateway/stop_window.h"

#endif  // GATEWAY_GATEWAY_H_
