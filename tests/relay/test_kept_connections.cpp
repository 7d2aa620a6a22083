// Reuse of connections to a server that sends more than it was asked for.
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <list>

#include "relay/http_client.h"
#include "relay/target_connection_pool.h"

namespace papayaplank {
namespace {

constexpr char kAnswer[] = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";

class KeptConnectionsTest : public testing::Test {
 protected:
  KeptConnectionsTest() {
    target_.id = TargetId("t");
    target_.address = address_;
  }

  // The server's end of the connection that was opened last.
  auto Accept() -> tcp::socket& {
    server_ends_.push_back(acceptor_.accept());
    return server_ends_.back();
  }

  // Returns when the bytes are in the other end's receive buffer.
  static auto Write(tcp::socket& socket, std::string_view bytes) -> void {
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    auto unacknowledged = 1;
    while (unacknowledged > 0) {
      ASSERT_EQ(ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged), 0);
    }
  }

  // Sends a request on the connection, and reads `answer` of the server;
  // returns how the transfer ended.
  auto Exchange(const std::shared_ptr<TargetConnection>& connection,
                tcp::socket& server_end, std::string_view answer)
      -> std::optional<TransferEnd> {
    std::optional<TransferEnd> end;
    connection->Send(
        "GET / HTTP/1.1\r\n\r\n", nullptr, false,
        TransferHooks{[](int status, const HttpFields&) {
                        return status == kSkippedStatus ? HeadAction::kSkip
                                                        : HeadAction::kRead;
                      },
                      [this](std::string_view bytes) { body_.append(bytes); },
                      [&end](TransferEnd e) { end = e; }});
    io_.poll();
    Write(server_end, answer);
    io_.restart();
    io_.poll();
    return end;
  }

  static constexpr int kSkippedStatus = 299;

  asio::io_context io_;
  tcp::acceptor acceptor_{
      io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::string address_ =
      "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  std::list<tcp::socket> server_ends_;
  TargetConnectionPool pool_{io_};
  TargetRow target_;
  std::string body_;
};

TEST_F(KeptConnectionsTest, BytesBeforeTheRequestEndTheReuse) {
  const auto connection = pool_.Acquire(target_, Time{});
  auto& server_end = Accept();
  ASSERT_EQ(Exchange(connection, server_end, kAnswer), TransferEnd::kComplete);
  pool_.Release(target_, connection, {}, 8, Time{});
  Write(server_end, kAnswer);
  EXPECT_NE(pool_.Acquire(target_, Time{}), connection);
  EXPECT_FALSE(connection->is_open());
}

TEST_F(KeptConnectionsTest, AQuietConnectionIsReused) {
  const auto connection = pool_.Acquire(target_, Time{});
  auto& server_end = Accept();
  ASSERT_EQ(Exchange(connection, server_end, kAnswer), TransferEnd::kComplete);
  pool_.Release(target_, connection, {}, 8, Time{});
  EXPECT_EQ(pool_.Acquire(target_, Time{}), connection);
}

TEST_F(KeptConnectionsTest, NoMoreAreKeptThanMayBeIdle) {
  const auto first = pool_.Acquire(target_, Time{});
  auto& first_end = Accept();
  const auto second = pool_.Acquire(target_, Time{});
  auto& second_end = Accept();
  ASSERT_EQ(Exchange(first, first_end, kAnswer), TransferEnd::kComplete);
  ASSERT_EQ(Exchange(second, second_end, kAnswer), TransferEnd::kComplete);
  pool_.Release(target_, first, {}, 1, Time{});
  pool_.Release(target_, second, {}, 1, Time{});
  EXPECT_FALSE(second->is_open());
  EXPECT_EQ(pool_.Acquire(target_, Time{}), first);
}

TEST_F(KeptConnectionsTest, TheLatestRequestsAreKnown) {
  const auto connection = pool_.Acquire(target_, Time{});
  connection->RecordRequest("a");
  for (int i = 0; i < 7; ++i) {
    EXPECT_TRUE(connection->HasCarried("a"));
    connection->RecordRequest("b" + std::to_string(i));
  }
  connection->RecordRequest("c");
  EXPECT_FALSE(connection->HasCarried("a"));
  EXPECT_FALSE(connection->HasCarried("d"));
  EXPECT_TRUE(connection->HasCarried("c"));
}

TEST_F(KeptConnectionsTest, SkippedAndInterimAnswersPrecedeTheAnswer) {
  const auto connection = pool_.Acquire(target_, Time{});
  auto& server_end = Accept();
  const std::string skipped =
      "HTTP/1.1 299 X\r\nContent-Length: 5\r\n\r\nstale"
      "HTTP/1.1 103 X\r\nLink: a\r\n\r\n";
  EXPECT_EQ(Exchange(connection, server_end, skipped + kAnswer),
            TransferEnd::kComplete);
  EXPECT_EQ(body_, "ok");
  EXPECT_TRUE(connection->is_reusable());
}

TEST_F(KeptConnectionsTest, EndlessSkippedAnswersBreakTheTransfer) {
  const auto connection = pool_.Acquire(target_, Time{});
  auto& server_end = Accept();
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 X\r\n\r\n";
  EXPECT_EQ(Exchange(connection, server_end, interim), TransferEnd::kBroken);
}

TEST_F(KeptConnectionsTest, ASwitchOfProtocolsBreaksTheTransfer) {
  const auto connection = pool_.Acquire(target_, Time{});
  auto& server_end = Accept();
  EXPECT_EQ(Exchange(connection, server_end, "HTTP/1.1 101 X\r\n\r\n"),
            TransferEnd::kBroken);
}

TEST_F(KeptConnectionsTest, ACallDoesNotGetAnAnswerFromBeforeIt) {
  HttpClient client(io_, address_);
  std::vector<std::string> bodies;
  const auto on_reply = [&bodies](const Outcome<HttpReply>& reply) {
    bodies.push_back(IsOk(reply) ? ValueOf(reply).body : "failed");
  };
  client.Call(HttpCall{"GET", "/1", ""}, seconds(5), on_reply);
  auto& first_end = Accept();
  io_.poll();
  Write(first_end, kAnswer);
  io_.restart();
  io_.poll();
  ASSERT_EQ(bodies, std::vector<std::string>{"ok"});
  Write(first_end, "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nstale");
  client.Call(HttpCall{"GET", "/2", ""}, seconds(5), on_reply);
  auto& second_end = Accept();
  io_.restart();
  io_.poll();
  Write(second_end, kAnswer);
  io_.restart();
  io_.poll();
  EXPECT_EQ(bodies, (std::vector<std::string>{"ok", "ok"}));
}

}  // namespace
}  // namespace papayaplank
