// Sending and receiving of reports.
#include "relay/peer_link.h"

#include <array>

#include "relay/socket_options.h"

namespace papayaplank {
namespace {

constexpr std::size_t kMaxDatagram = 65536;

}  // namespace

PeerLink::PeerLink(asio::io_context& io, GatewayCore& core, EventLog& log)
    : socket_(io), core_(core), log_(log) {}

auto PeerLink::Listen(const std::string& address) -> Outcome<Done> {
  const auto endpoint = ParseUdpEndpoint(address);
  if (!endpoint) {
    return Error{ErrorCode::kInvalidArgument,
                 "'" + address + "' is no IP:port"};
  }
  error_code error;
  socket_.open(endpoint->protocol(), error);
  if (!error) socket_.bind(*endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kUnavailable,
                 "cannot bind " + address + ": " + error.message()};
  }
  WaitForReport();
  return Done{};
}

auto PeerLink::SendReports(Time now) -> void {
  const auto addresses = core_.ReportAddresses(now);
  if (addresses.empty()) return;
  const auto bytes = EncodePeerReport(core_.MakeReport(now));
  for (const auto& address : addresses) {
    const auto endpoint = ParseUdpEndpoint(address);
    if (!endpoint) continue;
    // A report that is not sent is replaced by the next one.
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
  }
}

auto PeerLink::WaitForReport() -> void {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error) return;
    ReceiveAll();
    WaitForReport();
  });
}

auto PeerLink::ReceiveAll() -> void {
  static std::array<char, kMaxDatagram> buffer;
  // Bounded, so that callers get their turn.
  constexpr int kMaxReports = 32;
  for (int i = 0; i < kMaxReports; ++i) {
    udp::endpoint from;
    error_code error;
    const auto count =
        socket_.receive_from(asio::buffer(buffer), from, 0, error);
    if (error) return;
    const auto report =
        DecodePeerReport(std::string_view(buffer.data(), count));
    if (!report) {
      const auto sender = from.address().to_string();
      log_.Write(LogClass::kRoutine, "peer_report_malformed",
                 {{"from", std::string_view(sender)}});
      continue;
    }
    core_.TakeReport(*report, FleetClock::now());
  }
}

}  // namespace papayaplank
