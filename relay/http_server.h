// Accepts callers' connections and enforces their number and time limits.
#ifndef RELAY_HTTP_SERVER_H_
#define RELAY_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay/asio.h"
#include "relay/http_connection.h"

namespace papayaplank {

// An HTTP server on one listening address.
class HttpServer {
 public:
  using LimitsHook = std::function<CallerLimits()>;

  // `budget` counts what the connections hold, and outlives the server.
  HttpServer(asio::io_context& io, LimitsHook limits,
             HttpConnection::RequestHook on_request, MemoryBudget& budget);

  // Binds and listens; an error names the address.
  auto Listen(const std::string& address) -> Outcome<Done>;
  // While false, the listener is closed and the operating system refuses new
  // connections at no cost to the process. An error names the address that
  // could not be bound again.
  auto SetAccepting(bool is_accepting) -> Outcome<Done>;
  // Applies the time limits to all connections.
  auto CheckTimeouts(Time now) -> void;
  // Closes each connection after its current or next answer.
  auto CloseAfterAnswers() -> void;
  // Whether a request is still arriving, or an answer still being sent.
  auto HasPendingMessages() const -> bool;
  // Answers requests that have arrived in part, and closes all connections.
  auto CloseAll() -> void;
  auto connections() const -> std::size_t { return connections_.size(); }
  // Connections that were closed at once because `max_connections_` were open.
  auto refused() const -> std::uint64_t { return refused_; }
  // Connections that were closed to make room for new ones.
  auto displaced() const -> std::uint64_t { return displaced_; }
  auto set_max_connections(std::size_t count) -> void {
    max_connections_ = count;
  }

 private:
  // Above 3/4 of the limit, connections aren't kept alive, since idle ones
  // would soon leave no room for new ones.
  auto is_nearly_full() const -> bool {
    return connections_.size() > max_connections_ * 3 / 4;
  }
  auto OpenConnections() const -> std::vector<std::shared_ptr<HttpConnection>>;
  auto WaitForConnection() -> void;
  auto AcceptAll() -> void;
  // Gives up unfinished requests until the memory budget is kept.
  auto RelieveMemory() -> void;
  // Closes the connection that is least likely to be of use, if there is one
  // that has been silent for a while. Whether it did.
  auto Displace(Time now) -> bool;

  asio::io_context& io_;
  std::string address_;
  tcp::acceptor acceptor_;
  LimitsHook limits_;
  HttpConnection::RequestHook on_request_;
  MemoryBudget& budget_;
  // Exactly the open connections; each removes itself when it closes.
  std::unordered_map<HolderId, std::shared_ptr<HttpConnection>> connections_;
  std::size_t max_connections_ = 3000;
  std::uint64_t refused_ = 0;
  std::uint64_t displaced_ = 0;
  bool is_stopping_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_HTTP_SERVER_H_
