// Listening, accepting and time limits of connections.
#include "relay/http_server.h"

#include <algorithm>
#include <tuple>

#include "relay/socket_options.h"

namespace papayaplank {
namespace {

// A connection that has been silent for less is not closed to make room for a
// new one: its next bytes may be on their way.
constexpr Duration kLeastSilence = milliseconds(250);

}  // namespace

HttpServer::HttpServer(asio::io_context& io, LimitsHook limits,
                       HttpConnection::RequestHook on_request,
                       MemoryBudget& budget)
    : io_(io),
      acceptor_(io),
      limits_(std::move(limits)),
      on_request_(std::move(on_request)),
      budget_(budget) {}

auto HttpServer::Listen(const std::string& address) -> Outcome<Done> {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) {
    return Error{ErrorCode::kInvalidArgument,
                 "'" + address + "' is not of the form IP:port"};
  }
  address_ = address;
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  constexpr int kBacklog = 1024;
  if (!error) acceptor_.listen(kBacklog, error);
  if (!error) acceptor_.non_blocking(true, error);
  if (error) {
    error_code ignored;  // The error above is reported instead.
    acceptor_.close(ignored);
    return Error{ErrorCode::kUnavailable,
                 "cannot listen on " + address + ": " + error.message()};
  }
  WaitForConnection();
  return Done{};
}

auto HttpServer::SetAccepting(bool is_accepting) -> Outcome<Done> {
  if (is_accepting == acceptor_.is_open()) return Done{};
  if (is_accepting) return Listen(address_);
  // Closing the listener would reset the connections in its backlog, so they
  // are accepted first.
  AcceptAll();
  error_code ignored;  // The listener is closed whatever its state.
  acceptor_.close(ignored);
  return Done{};
}

auto HttpServer::WaitForConnection() -> void {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error) return;
    AcceptAll();
    WaitForConnection();
  });
}

auto HttpServer::AcceptAll() -> void {
  // Bounded, so that open requests are served in between. The bound is above
  // the number of connections that arrive in one round of the event loop under
  // overload, since connections that stay in the backlog are answered late.
  constexpr int kMaxAccepts = 256;
  // Each looks at all connections.
  constexpr int kMaxDisplacements = 16;
  auto displacements = 0;
  for (int i = 0; i < kMaxAccepts; ++i) {
    tcp::socket socket(io_);
    tcp::endpoint caller;
    error_code error;
    acceptor_.accept(socket, caller, error);
    if (error) return;
    if (connections_.size() >= max_connections_ &&
        (++displacements > kMaxDisplacements ||
         !Displace(MonotonicClock::now()))) {
      ++refused_;
      continue;
    }
    const auto connection = std::make_shared<HttpConnection>(
        std::move(socket), caller, limits_(), on_request_, budget_);
    connection->SetHeldHook([this] { RelieveMemory(); });
    if (is_stopping_ || is_nearly_full()) connection->CloseAfterAnswer();
    connections_[connection->holder()] = connection;
    connection->Start(
        [this, key = connection->holder()] { connections_.erase(key); });
  }
}

auto HttpServer::RelieveMemory() -> void {
  while (const auto victim = budget_.ChooseVictim(MonotonicClock::now())) {
    budget_.Remove(*victim);
    const auto found = connections_.find(*victim);
    if (found == connections_.end()) continue;
    const auto connection = found->second;
    connection->GiveUp();
  }
}

auto HttpServer::Displace(Time now) -> bool {
  std::shared_ptr<HttpConnection> chosen;
  for (const auto& [key, connection] : connections_) {
    if (connection->is_answering() || connection->is_closing() ||
        connection->unsent_bytes() > 0 ||
        now - connection->last_activity() < kLeastSilence) {
      continue;
    }
    const auto is_better =
        chosen == nullptr ||
        std::make_tuple(connection->has_served(), connection->last_activity()) <
            std::make_tuple(chosen->has_served(), chosen->last_activity());
    if (is_better) chosen = connection;
  }
  if (chosen == nullptr) return false;
  ++displaced_;
  chosen->GiveUp();
  chosen->Close();
  return true;
}

// A copy for loops that close connections, which removes them from the map.
auto HttpServer::OpenConnections() const
    -> std::vector<std::shared_ptr<HttpConnection>> {
  std::vector<std::shared_ptr<HttpConnection>> connections;
  connections.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    connections.push_back(connection);
  }
  return connections;
}

auto HttpServer::CheckTimeouts(Time now) -> void {
  for (const auto& connection : OpenConnections()) {
    connection->CheckTimeouts(now);
  }
}

auto HttpServer::CloseAfterAnswers() -> void {
  is_stopping_ = true;
  for (const auto& [key, connection] : connections_) {
    connection->CloseAfterAnswer();
  }
}

auto HttpServer::HasPendingMessages() const -> bool {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) {
                       return entry.second->is_reading_request() ||
                              entry.second->unsent_bytes() > 0;
                     });
}

auto HttpServer::CloseAll() -> void {
  error_code ignored;  // The listener is closed whatever its state.
  acceptor_.close(ignored);
  for (const auto& connection : OpenConnections()) {
    connection->GiveUp();
    connection->Close();
  }
}

}  // namespace papayaplank
