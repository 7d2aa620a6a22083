// Options of all TCP sockets of a router.
#ifndef RELAY_SOCKET_OPTIONS_H_
#define RELAY_SOCKET_OPTIONS_H_

#include <array>
#include <optional>
#include <string>

#include "relay/asio.h"

namespace papayaplank {

// For a socket that waits for its peer: small writes are sent at once, and a
// silent peer is noticed within seconds. A connection that is answered at once
// does without these six system calls.
auto SetLongLivedOptions(tcp::socket& socket) -> void;

// Buffer for one read; its bytes are copied out before the next read. All
// connections share it, as one task reads them all.
auto ReadBuffer() -> std::array<char, 16384>&;

// "IP:PORT" as an endpoint; nothing if it is none.
auto ParseTcpEndpoint(const std::string& address)
    -> std::optional<tcp::endpoint>;
auto ParseUdpEndpoint(const std::string& address)
    -> std::optional<udp::endpoint>;

}  // namespace papayaplank

#endif  // RELAY_SOCKET_OPTIONS_H_
