// Messages between routers over UDP.
#ifndef RELAY_PEER_LINK_H_
#define RELAY_PEER_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "relay/asio.h"
#include "relay/event_log.h"

namespace papayaplank {

// Sends reports and queries to peers, and passes received messages to the core.
class PeerLink {
 public:
  struct Hooks {
    // Called with target changes that a peer's report brought.
    std::function<void(const DirectoryChange&)> on_target_change;
    // Called when the core has taken the reply to a request for a permit.
    std::function<void(PermitNonce)> on_permit_reply;
  };

  PeerLink(asio::io_context& io, GatewayCore& core, EventLog& log, Hooks hooks);

  // Binds IP:port `address` and receives messages; an error names the address.
  auto Listen(const std::string& address) -> Outcome<Done>;
  // Sends the reports and summaries that are due at this tick.
  auto SendMessages(Time now) -> void;
  // Sends the core's requests for permits at once.
  auto SendPermitRequests() -> void;
  // Asks a few peers how recent their configuration is.
  auto SendQueries(Time now) -> void;

 private:
  auto WaitForMessage() -> void;
  auto ReceiveAll() -> void;
  auto Send(const std::string& bytes, const udp::endpoint& to) -> void;
  auto SendToAll(const std::string& bytes,
                 const std::vector<std::string>& addresses) -> void;
  auto AnswerPermitRequest(const PermitRequest& request,
                           const udp::endpoint& from, Time now) -> void;
  auto PassOnChange(const DirectoryChange& change) -> void;
  auto HandlePeerMessage(const PeerMessage& message, const udp::endpoint& from)
      -> void;

  udp::socket socket_;
  GatewayCore& core_;
  EventLog& log_;
  Hooks hooks_;
};

}  // namespace papayaplank

#endif  // RELAY_PEER_LINK_H_
