// Accepting and refusing connections on loopback.
#include <gtest/gtest.h>

#include "relay/http_server.h"

namespace papayaplank {
namespace {

class HttpServerTest : public testing::Test {
 protected:
  void SetUp() override {
    // Picks a free port.
    tcp::acceptor port_finder(io_, tcp::endpoint(tcp::v4(), 0));
    port_ = port_finder.local_endpoint().port();
    port_finder.close();
    const auto listening = server_.Listen("127.0.0.1:" + std::to_string(port_));
    ASSERT_TRUE(IsOk(listening));
  }

  // Opens a connection that stays open; returns whether it succeeded.
  auto Connect() -> bool {
    auto& socket = sockets_.emplace_back(io_);
    error_code error;
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_),
                   error);
    return !error;
  }

  MemoryBudget budget_{1 << 20};
  asio::io_context io_;
  std::uint16_t port_ = 0;
  std::vector<tcp::socket> sockets_;
  HttpServer server_{
      io_, [] { return CallerLimits{}; },
      [](const auto& caller, const auto&) { caller->Answer(200, "", ""); },
      budget_};
};

TEST_F(HttpServerTest, PausedListenerRefusesNewAndKeepsOpenConnections) {
  ASSERT_TRUE(Connect());
  ASSERT_TRUE(IsOk(server_.SetAccepting(false)));
  // The connection in the backlog was accepted before the listener closed.
  EXPECT_EQ(server_.connections(), 1U);
  EXPECT_FALSE(Connect());
  ASSERT_TRUE(IsOk(server_.SetAccepting(true)));
  EXPECT_TRUE(Connect());
  io_.poll();
  EXPECT_EQ(server_.connections(), 2U);
}

// Guards against connections that time out in the backlog during a flood: a
// round of the event loop must accept many of them, not just a few. Here 200
// are accepted in two rounds.
TEST_F(HttpServerTest, AcceptsManyConnectionsPerRound) {
  constexpr std::size_t kConnections = 200;
  for (std::size_t i = 0; i < kConnections; ++i) ASSERT_TRUE(Connect());
  io_.poll_one();
  io_.poll_one();
  EXPECT_EQ(server_.connections(), kConnections);
}

}  // namespace
}  // namespace papayaplank
