// Sending and receiving of peer messages.
#include "relay/peer_link.h"

#include <array>

#include "relay/socket_options.h"

namespace papayaplank {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;

}  // namespace

PeerLink::PeerLink(asio::io_context& io, GatewayCore& core, EventLog& log,
                   Hooks hooks)
    : socket_(io), core_(core), log_(log), hooks_(std::move(hooks)) {}

auto PeerLink::Listen(const std::string& address) -> Outcome<Done> {
  const auto endpoint = ParseUdpEndpoint(address);
  if (!endpoint) {
    return Error{ErrorCode::kInvalidArgument,
                 "'" + address + "' is not of the form IP:port"};
  }
  error_code error;
  socket_.open(endpoint->protocol(), error);
  if (!error) socket_.bind(*endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kUnavailable,
                 "cannot bind " + address + ": " + error.message()};
  }
  WaitForMessage();
  return Done{};
}

auto PeerLink::Send(const std::string& bytes, const udp::endpoint& to) -> void {
  // Messages are periodic; a lost one is superseded by the next.
  error_code ignored;
  socket_.send_to(asio::buffer(bytes), to, 0, ignored);
}

auto PeerLink::SendMessages(Time now) -> void {
  for (const auto& [message, recipients] : core_.MakePeerMessages(now)) {
    if (!recipients.empty()) SendToAll(EncodePeerMessage(message), recipients);
  }
}

auto PeerLink::SendPermitRequests() -> void {
  for (const auto& [request, recipients] : core_.TakePermitRequests()) {
    SendToAll(EncodePeerMessage(request), recipients);
  }
}

auto PeerLink::AnswerPermitRequest(const PermitRequest& request,
                                   const udp::endpoint& from, Time now)
    -> void {
  const auto grant = core_.HandlePermitRequest(request, now);
  if (grant) Send(EncodePeerMessage(*grant), from);
}

auto PeerLink::SendToAll(const std::string& bytes,
                         const std::vector<std::string>& addresses) -> void {
  for (const auto& address : addresses) {
    const auto endpoint = ParseUdpEndpoint(address);
    if (endpoint) Send(bytes, *endpoint);
  }
}

auto PeerLink::SendQueries(Time now) -> void {
  for (const auto& address : core_.ChooseQueryAddresses(now)) {
    const auto endpoint = ParseUdpEndpoint(address);
    if (endpoint) Send(EncodePeerMessage(core_.MakeQuery(now)), *endpoint);
  }
}

auto PeerLink::PassOnChange(const DirectoryChange& change) -> void {
  if (!change.left.empty() || !change.restarted.empty() ||
      !change.joined.empty()) {
    hooks_.on_target_change(change);
  }
}

auto PeerLink::HandlePeerMessage(const PeerMessage& message,
                                 const udp::endpoint& from) -> void {
  // A `PeerSnapshot` is ignored: snapshots are sent over HTTP only.
  const auto now = MonotonicClock::now();
  if (const auto* report = std::get_if<PeerReport>(&message)) {
    PassOnChange(core_.HandleReport(*report, now));
  } else if (const auto* summary = std::get_if<FleetSummary>(&message)) {
    PassOnChange(core_.HandleSummary(*summary, now));
  } else if (const auto* evidence = std::get_if<PartEvidence>(&message)) {
    core_.HandleEvidence(*evidence, now);
  } else if (const auto* statements = std::get_if<StatementReport>(&message)) {
    core_.HandleStatementReport(*statements, now);
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    AnswerPermitRequest(*request, from, now);
  } else if (const auto* grant = std::get_if<PermitGrant>(&message)) {
    core_.HandlePermitGrant(*grant, now);
    hooks_.on_permit_reply(grant->nonce);
  } else if (const auto* query = std::get_if<FreshnessQuery>(&message)) {
    const auto reply = core_.AnswerQuery(*query, now);
    if (reply) Send(EncodePeerMessage(*reply), from);
  } else if (const auto* reply = std::get_if<FreshnessReply>(&message)) {
    core_.HandleReply(*reply);
  }
}

auto PeerLink::WaitForMessage() -> void {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error) return;
    ReceiveAll();
    WaitForMessage();
  });
}

auto PeerLink::ReceiveAll() -> void {
  static std::array<char, kMaxDatagramBytes> buffer;
  // Bounded, so that callers are served in between.
  constexpr int kMaxMessages = 32;
  for (int i = 0; i < kMaxMessages; ++i) {
    udp::endpoint from;
    error_code error;
    const auto count =
        socket_.receive_from(asio::buffer(buffer), from, 0, error);
    if (error) return;
    const auto message =
        DecodePeerMessage(std::string_view(buffer.data(), count));
    if (!message) {
      const auto sender = from.address().to_string();
      log_.Write(LogClass::kRoutine, "peer_message_malformed",
                 {{"from", sender}});
      continue;
    }
    HandlePeerMessage(*message, from);
  }
}

}  // namespace papayaplank
