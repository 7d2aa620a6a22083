// Reports between routers, as datagrams.
#ifndef RELAY_PEER_LINK_H_
#define RELAY_PEER_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"

namespace papayaplank {

// Sends this router's report to all peers, and takes theirs.
class PeerLink {
 public:
  // `on_change` hears of changes of targets that peers have read.
  using ChangeHook = std::function<void(const DirectoryChange&)>;

  PeerLink(asio::io_context& io, GatewayCore& core, EventLog& log,
           ChangeHook on_change);

  auto Listen(const std::string& address) -> Outcome<Done>;
  // Sends this tick's report to the peers that are due.
  auto SendReports(Time now) -> void;
  // Asks a few peers how fresh their configuration is.
  auto SendQueries(Time now) -> void;

 private:
  auto WaitForReport() -> void;
  auto ReceiveAll() -> void;
  auto Send(const std::string& bytes, const udp::endpoint& to) -> void;
  auto SendToAll(const std::string& bytes,
                 const std::vector<std::string>& addresses) -> void;
  auto Take(const PeerMessage& message, const udp::endpoint& from) -> void;

  udp::socket socket_;
  GatewayCore& core_;
  EventLog& log_;
  ChangeHook on_change_;
};

}  // namespace papayaplank

#endif  // RELAY_PEER_LINK_H_
