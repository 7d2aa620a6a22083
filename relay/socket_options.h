// Socket options, the shared read buffer and parsing of addresses.
#ifndef RELAY_SOCKET_OPTIONS_H_
#define RELAY_SOCKET_OPTIONS_H_

#include <array>
#include <optional>
#include <string>

#include "base/base.h"
#include "relay/asio.h"

namespace papayaplank {

// For a connection that waits for its other end: small writes are sent at once,
// and a lost other end is detected within seconds as long as no sent bytes are
// under way; see `DeliveryWatch` for those. A caller's connection whose
// requests are answered at once skips these system calls.
auto SetLongLivedOptions(tcp::socket& socket) -> void;

// What the system knows of the delivery of sent bytes.
struct DeliveryState {
  // Bytes, or probes of a closed window, were sent again and not answered yet.
  bool is_unanswered = false;
  // Since the other end acknowledged anything.
  Duration since_answer{};
};

// Nothing if the system doesn't tell.
auto ReadDeliveryState(tcp::socket& socket) -> std::optional<DeliveryState>;

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
