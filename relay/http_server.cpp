// Listening, accepting and time limits of connections.
#include "relay/http_server.h"

#include "relay/socket_options.h"

namespace papayaplank {

HttpServer::HttpServer(asio::io_context& io, LimitsHook limits,
                       HttpConnection::RequestHook on_request)
    : io_(io),
      acceptor_(io),
      limits_(std::move(limits)),
      on_request_(std::move(on_request)) {}

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
  for (int i = 0; i < kMaxAccepts; ++i) {
    tcp::socket socket(io_);
    tcp::endpoint caller;
    error_code error;
    acceptor_.accept(socket, caller, error);
    if (error) return;
    if (connections_.size() >= max_connections_) {
      ++refused_;
      continue;
    }
    const auto connection = std::make_shared<HttpConnection>(
        std::move(socket), caller, limits_(), on_request_);
    if (is_stopping_ || is_nearly_full()) connection->CloseAfterAnswer();
    connections_[connection.get()] = connection;
    connection->Start(
        [this, key = connection.get()] { connections_.erase(key); });
  }
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

auto HttpServer::CloseAll() -> void {
  error_code ignored;  // The listener is closed whatever its state.
  acceptor_.close(ignored);
  for (const auto& connection : OpenConnections()) connection->Close();
}

}  // namespace papayaplank
