// TCP keep-alive, state of deliveries, and parsing of addresses.
#include "relay/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "platform/platform.h"

namespace papayaplank {
namespace {

// A lost end of an idle connection is noticed after three seconds.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

struct AddressParts {
  asio::ip::address ip;
  std::uint16_t port = 0;
};

auto ParseAddress(const std::string& text) -> std::optional<AddressParts> {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  const auto port = ParseNumber(text.substr(colon + 1));
  constexpr std::int64_t kMaxPort = 65535;
  if (error || !port || *port > kMaxPort) return std::nullopt;
  return AddressParts{ip, static_cast<std::uint16_t>(*port)};
}

auto SetOption(int socket, int level, int name, int value) -> void {
  // If an option fails, the system's default remains, which detects a lost
  // connection later.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

auto SetLongLivedOptions(tcp::socket& socket) -> void {
  const auto handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

auto ReadDeliveryState(tcp::socket& socket) -> std::optional<DeliveryState> {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) !=
      0) {
    return std::nullopt;
  }
  return DeliveryState{info.tcpi_retransmits > 0 || info.tcpi_probes > 0,
                       milliseconds(info.tcpi_last_ack_recv)};
}

auto SharedReadBuffer() -> std::array<char, 16384>& {
  static std::array<char, 16384> buffer;
  return buffer;
}

auto ParseTcpEndpoint(const std::string& address)
    -> std::optional<tcp::endpoint> {
  const auto parts = ParseAddress(address);
  if (!parts) return std::nullopt;
  return tcp::endpoint(parts->ip, parts->port);
}

auto ParseUdpEndpoint(const std::string& address)
    -> std::optional<udp::endpoint> {
  const auto parts = ParseAddress(address);
  if (!parts) return std::nullopt;
  return udp::endpoint(parts->ip, parts->port);
}

}  // namespace papayaplank
