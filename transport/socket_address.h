// Parses and formats socket addresses ("127.0.0.1:9000"); no host names.
#ifndef TRANSPORT_SOCKET_ADDRESS_H_
#define TRANSPORT_SOCKET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <string>

#include "base/base.h"

namespace papayaplank {

// Parses an IPv4 address and a port; `kInvalidArgument` for any other text.
inline auto ParseSocketAddress(const std::string& text)
    -> Outcome<sockaddr_in> {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  const auto host = text.substr(0, colon);
  unsigned port = 0;
  const auto* begin =
      text.data() + (colon == std::string::npos ? 0 : colon + 1);
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, port);
  const auto is_port = colon != std::string::npos && begin != end &&
                       parsed.ec == std::errc() && parsed.ptr == end &&
                       port > 0 && port <= 65535;
  if (!is_port || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return Error{ErrorCode::kInvalidArgument,
                 "'" + text +
                     "' is not an address; give an IPv4 address and a port, "
                     "as in 127.0.0.1:9000"};
  }
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Formats an address as "IP:port".
inline auto FormatSocketAddress(const sockaddr_in& address) -> std::string {
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace papayaplank

#endif  // TRANSPORT_SOCKET_ADDRESS_H_
