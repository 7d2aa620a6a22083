// Event log with a reader that stalls or closes, bursts, and hostile bytes.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "relay/event_log.h"

namespace papayaplank {
namespace {

// A pipe whose reading end belongs to the test.
class EventLogTest : public testing::Test {
 protected:
  void SetUp() override {
    signal(SIGPIPE, SIG_IGN);
    ASSERT_EQ(pipe(ends_.data()), 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  void TearDown() override {
    CloseReader();
    close(ends_[1]);
  }

  auto writer() const -> int { return ends_[1]; }
  void CloseReader() {
    if (ends_[0] >= 0) close(ends_[0]);
    ends_[0] = -1;
  }
  // Everything that the pipe holds.
  auto ReadAll() -> std::string {
    std::string all;
    std::array<char, 4096> buffer{};
    for (;;) {
      const auto count = read(ends_[0], buffer.data(), buffer.size());
      if (count <= 0) return all;
      all.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
  static auto Lines(const std::string& text) -> std::vector<nlohmann::json> {
    std::vector<nlohmann::json> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
      lines.push_back(nlohmann::json::parse(line, nullptr, false));
    }
    return lines;
  }

 private:
  std::array<int, 2> ends_{-1, -1};
};

TEST_F(EventLogTest, StalledReaderDropsLinesWithoutBlocking) {
  EventLog log(writer(), "a");
  const std::string text(500, 'x');
  for (int i = 0; i < 1000; ++i) {
    log.Write(LogClass::kState, "target_joined", {{"target", text}});
  }
  EXPECT_GT(log.dropped(), 0U);
  // The pipe has complete lines, apart from the last one.
  auto lines = Lines(ReadAll());
  ASSERT_GT(lines.size(), 1U);
  lines.pop_back();
  for (const auto& line : lines) EXPECT_TRUE(line.is_object());
  // Once the pipe has room, the end of the last line and the number of dropped
  // lines follow.
  log.Write(LogClass::kState, "stopping", {});
  log.Write(LogClass::kState, "stopped", {});
  int reported = 0;
  for (const auto& line : Lines(ReadAll())) {
    if (line.is_object()) reported += line.value("lines_dropped", 0);
  }
  EXPECT_GT(reported, 0);
}

TEST_F(EventLogTest, ClosedReaderDropsLines) {
  EventLog log(writer(), "a");
  CloseReader();
  log.Write(LogClass::kState, "started", {});
  EXPECT_EQ(log.dropped(), 1U);
}

TEST_F(EventLogTest, BurstIsLimitedAndCounted) {
  EventLog log(writer(), "a");
  constexpr int kBurst = 5000;
  for (int i = 0; i < kBurst; ++i) {
    log.Write(LogClass::kFailure, "request_refused", {});
    log.Write(LogClass::kRoutine, "request_done", {});
  }
  const auto lines = Lines(ReadAll());
  int refused = 0;
  int done = 0;
  for (const auto& line : lines) {
    refused += line.value("event", "") == "request_refused" ? 1 : 0;
    done += line.value("event", "") == "request_done" ? 1 : 0;
  }
  EXPECT_EQ(log.dropped() + lines.size(), 2U * kBurst);
  // Failed requests have a higher rate limit than successful ones.
  EXPECT_GT(refused, 5 * done);
  EXPECT_LT(refused, kBurst / 4);
  // State lines have no rate limit.
  log.Write(LogClass::kState, "stopped", {});
  const auto last = Lines(ReadAll());
  ASSERT_EQ(last.size(), 1U);
  EXPECT_GT(last[0].value("lines_dropped", 0), 0);
}

TEST_F(EventLogTest, HostileBytesAreEscaped) {
  EventLog log(writer(), "a");
  const std::string hostile =
      "\"}\n{\"event\":\"forged\"\r\n\x00\x1b[2J\xff\xfe";
  log.Write(LogClass::kFailure, "request_refused", {{"request", hostile}});
  const auto text = ReadAll();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  const auto lines = Lines(text);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0].value("event", ""), "request_refused");
  for (const auto byte : text) {
    EXPECT_TRUE(byte == '\n' || static_cast<unsigned char>(byte) >= ' ');
  }
}

TEST_F(EventLogTest, ALongTextIsCut) {
  EventLog log(writer(), "a");
  log.Write(LogClass::kState, "target_joined",
            {{"target", std::string(60000, '\xe2')}});
  const auto text = ReadAll();
  EXPECT_LT(text.size(), 4096U);
  ASSERT_EQ(Lines(text).size(), 1U);
  EXPECT_TRUE(Lines(text)[0].is_object());
}

}  // namespace
}  // namespace papayaplank
