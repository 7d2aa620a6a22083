// Reports between routers, as datagrams.
#ifndef RELAY_PEER_LINK_H_
#define RELAY_PEER_LINK_H_

#include <string>

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"

namespace papayaplank {

// Sends this router's report to all peers, and takes theirs.
class PeerLink {
 public:
  PeerLink(asio::io_context& io, GatewayCore& core, EventLog& log);

  auto Listen(const std::string& address) -> Outcome<Done>;
  // Sends one report to each peer.
  auto SendReports(Time now) -> void;

 private:
  auto WaitForReport() -> void;
  auto ReceiveAll() -> void;

  udp::socket socket_;
  GatewayCore& core_;
  EventLog& log_;
};

}  // namespace papayaplank

#endif  // RELAY_PEER_LINK_H_
