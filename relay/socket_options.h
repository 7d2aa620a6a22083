// Socket options, the shared read buffer and parsing of addresses.
#ifndef RELAY_SOCKET_OPTIONS_H_
#define RELAY_SOCKET_OPTIONS_H_

#include <array>
#include <optional>
#include <string>

#include "relay/asio.h"

namespace papayaplank {

// For a connection that waits for its other end: small writes are sent at once,
// and a lost other end is detected within seconds. A caller's connection whose
// requests are answered at once skips these six system calls.
auto SetLongLivedOptions(tcp::socket& socket) -> void;

// Buffer for one read; the bytes are copied out before the next read. All
// connections share it, since one thread reads them all.
auto SharedReadBuffer() -> std::array<char, 16384>&;

// Parses "IP:PORT"; nothing for any other text.
auto ParseTcpEndpoint(const std::string& address)
    -> std::optional<tcp::endpoint>;
auto ParseUdpEndpoint(const std::string& address)
    -> std::optional<udp::endpoint>;

}  // namespace papayaplank

#endif  // RELAY_SOCKET_OPTIONS_H_
