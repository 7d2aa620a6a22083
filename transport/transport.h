// Public header of the transport library: HTTP, JSON-RPC and UDP sockets, and
// the tasks that own them.
#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/answer_buffer.h"
#include "transport/blocking_http_client.h"
#include "transport/caller_server.h"
#include "transport/datagram_guard.h"
#include "transport/gossip_socket.h"
#include "transport/http_service.h"
#include "transport/rpc.h"
#include "transport/stream_parser.h"
#include "transport/target_client.h"

#endif  // TRANSPORT_TRANSPORT_H_
