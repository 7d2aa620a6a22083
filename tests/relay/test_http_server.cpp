// Accepting of connections on loopback.
#include <gtest/gtest.h>

#include "relay/http_server.h"

namespace papayaplank {
namespace {

class HttpServerTest : public testing::Test {
 protected:
  void SetUp() override {
    // A port that was free a moment ago.
    tcp::acceptor probe(io_, tcp::endpoint(tcp::v4(), 0));
    port_ = probe.local_endpoint().port();
    probe.close();
    const auto listening = server_.Listen("127.0.0.1:" + std::to_string(port_));
    ASSERT_TRUE(IsOk(listening));
  }

  // Whether a connection comes about; it stays open.
  auto Connect() -> bool {
    auto& socket = sockets_.emplace_back(io_);
    error_code error;
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_),
                   error);
    return !error;
  }

  asio::io_context io_;
  std::uint16_t port_ = 0;
  std::vector<tcp::socket> sockets_;
  HttpServer server_{
      io_, [] { return CallerLimits{}; },
      [](const auto& caller, const auto&) { caller->Answer(200, "", ""); }};
};

TEST_F(HttpServerTest, AClosedGateRefusesAtOnceAndKeepsWhatIsOpen) {
  ASSERT_TRUE(Connect());
  ASSERT_TRUE(IsOk(server_.SetAccepting(false)));
  // The connection that waited was let in.
  EXPECT_EQ(server_.connections(), 1U);
  EXPECT_FALSE(Connect());
  ASSERT_TRUE(IsOk(server_.SetAccepting(true)));
  EXPECT_TRUE(Connect());
  io_.poll();
  EXPECT_EQ(server_.connections(), 2U);
}

// Replays a flood: more connections than the process takes in one round wait
// at the listener. All are taken in two rounds, none is left to time out.
TEST_F(HttpServerTest, ManyConnectionsAreAcceptedInARound) {
  constexpr std::size_t kConnections = 200;
  for (std::size_t i = 0; i < kConnections; ++i) ASSERT_TRUE(Connect());
  io_.poll_one();
  io_.poll_one();
  EXPECT_EQ(server_.connections(), kConnections);
}

}  // namespace
}  // namespace papayaplank
