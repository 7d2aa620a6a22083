// Parsing of HTTP messages and server-sent events.
#include <gtest/gtest.h>

#include <ctime>

#include "relay/event_splitter.h"
#include "relay/loop_watch.h"
#include "relay/message_reader.h"

namespace papayaplank {
namespace {

constexpr std::size_t kHeaderLimit = 1000;
constexpr std::uint64_t kBodyLimit = 100;

using RequestProgress = RequestReader::Progress;

auto ReadRequest(std::string bytes, std::string* body = nullptr)
    -> RequestProgress {
  RequestReader reader(kHeaderLimit, kBodyLimit, [body](std::string_view part) {
    if (body != nullptr) body->append(part);
  });
  return reader.Read(bytes);
}

TEST(MessageReaderTest, ReadsMessageByteByByte) {
  const std::string message =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET";
  std::string body;
  RequestReader reader(kHeaderLimit, kBodyLimit,
                       [&body](std::string_view part) { body.append(part); });
  std::string pending;
  std::size_t used = 0;
  auto progress = RequestProgress::kNeedMore;
  while (progress != RequestProgress::kDone && used < message.size()) {
    pending.push_back(message[used++]);
    progress = reader.Read(pending);
  }
  EXPECT_EQ(progress, RequestProgress::kDone);
  EXPECT_EQ(body, "abcde");
  EXPECT_EQ(message.substr(used), "GET");
}

TEST(MessageReaderTest, RefusesAmbiguousFraming) {
  for (const auto* message :
       {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost : h\r\n\r\n", "\x16\x03\x01\r\n\r\n"}) {
    EXPECT_EQ(ReadRequest(message), RequestProgress::kInvalid) << message;
  }
}

TEST(MessageReaderTest, EnforcesSizeLimits) {
  EXPECT_EQ(ReadRequest("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
            RequestProgress::kBodyTooLarge);
  const std::string long_header(kHeaderLimit, 'x');
  EXPECT_EQ(ReadRequest("GET / HTTP/1.1\r\nA: " + long_header + "\r\n\r\n"),
            RequestProgress::kHeaderTooLarge);
}

TEST(MessageReaderTest, AnswerWithoutLengthEndsWithConnection) {
  std::string body;
  ResponseReader reader(kHeaderLimit, kBodyLimit,
                        [&body](std::string_view part) { body.append(part); });
  std::string bytes = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc";
  reader.Read(bytes);
  EXPECT_FALSE(reader.is_done());
  EXPECT_TRUE(reader.FinishAtEndOfStream());
  EXPECT_EQ(body, "abc");
}

TEST(MessageReaderTest, TruncatedAnswerIsIncomplete) {
  ResponseReader reader(kHeaderLimit, kBodyLimit, [](std::string_view) {});
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
  reader.Read(bytes);
  EXPECT_FALSE(reader.FinishAtEndOfStream());
}

// A target that sends chunks of one byte made the router handle each of them on
// its own, with a write to the caller for each (CONFIG).
TEST(MessageReaderTest, ManyChunksOfOneReadAreHandledAtOnce) {
  constexpr int kChunks = 2000;
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < kChunks; ++i) bytes += "1\r\na\r\n";
  std::string body;
  int calls = 0;
  ResponseReader reader(kHeaderLimit, kChunks, [&](std::string_view part) {
    body.append(part);
    ++calls;
  });
  EXPECT_EQ(reader.Read(bytes), ResponseReader::Progress::kHeader);
  EXPECT_EQ(body, std::string(kChunks, 'a'));
  EXPECT_EQ(calls, 1);
}

TEST(MessageReaderTest, BytesBeforeAnInvalidChunkAreHandled) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n1\r\nb\r\nx";
  bytes += "\r\n";
  std::string body;
  ResponseReader reader(kHeaderLimit, kBodyLimit,
                        [&body](std::string_view part) { body.append(part); });
  EXPECT_EQ(reader.Read(bytes), ResponseReader::Progress::kInvalid);
  EXPECT_EQ(body, "ab");
}

auto Split(EventSplitter& splitter, std::string_view bytes) -> std::string {
  std::string events;
  splitter.Append(bytes,
                  [&events](std::string_view event) { events.append(event); });
  return events;
}

TEST(EventSplitterTest, PassesOnCompleteEventsOnly) {
  EventSplitter splitter;
  EXPECT_EQ(Split(splitter, "id: 1\ndata: a\n\nid: 2\nda"),
            "id: 1\ndata: a\n\n");
  EXPECT_TRUE(splitter.has_partial_event());
  EXPECT_EQ(Split(splitter, "ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(splitter.has_partial_event());
  EXPECT_EQ(splitter.last_event_id(), 2);
}

// An event that arrives in many small pieces took the processor for seconds, as
// each piece was joined with all earlier ones and searched again (CONFIG).
TEST(EventSplitterTest, ALongEventInSmallPiecesTakesLittleTime) {
  constexpr int kPieces = 131072;
  EventSplitter splitter;
  const auto began = std::clock();
  for (int i = 0; i < kPieces; ++i) EXPECT_EQ(Split(splitter, ":\n"), "");
  const auto seconds =
      static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
  // The event loop would count as standing still.
  EXPECT_LT(std::chrono::duration<double>(seconds), kLeastRestartTime);
  EXPECT_EQ(splitter.partial_event_bytes(), 2U * kPieces);
  EXPECT_EQ(Split(splitter, "\n").size(), 2U * kPieces + 1);
}

TEST(EventSplitterTest, DropsEventsRepeatedByAnotherTarget) {
  EventSplitter splitter;
  Split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  splitter.Restart();
  EXPECT_EQ(Split(splitter, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
            "id: 3\ndata: c\n\n");
}

TEST(EventSplitterTest, DetectsMissingEvent) {
  EventSplitter splitter;
  Split(splitter, "id: 1\ndata: a\n\n");
  EXPECT_EQ(Split(splitter, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"), "");
  EXPECT_TRUE(splitter.is_out_of_order());
}

TEST(EventSplitterTest, AnotherRunMendsAGap) {
  EventSplitter splitter;
  EXPECT_EQ(Split(splitter, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n"),
            "id: 1\ndata: a\n\n");
  splitter.Restart();
  EXPECT_FALSE(splitter.is_out_of_order());
  EXPECT_EQ(Split(splitter, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

TEST(EventSplitterTest, ContinuesAfterTheEventThatTheCallerHas) {
  EventSplitter splitter;
  splitter.ContinueAfter(4);
  EXPECT_EQ(Split(splitter, "id: 4\ndata: d\n\nid: 5\ndata: e\n\n"),
            "id: 5\ndata: e\n\n");
  EXPECT_FALSE(splitter.is_out_of_order());
  splitter.ContinueAfter(4);
  EXPECT_EQ(Split(splitter, "id: 7\ndata: g\n\n"), "");
  EXPECT_TRUE(splitter.is_out_of_order());
}

TEST(EventSplitterTest, ARunThatEndsBeforeTheLastEventIsShort) {
  EventSplitter splitter;
  Split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_FALSE(splitter.is_short());
  splitter.Restart();
  EXPECT_FALSE(splitter.is_short());
  Split(splitter, "id: 1\ndata: a\n\n");
  EXPECT_TRUE(splitter.is_short());
  Split(splitter, "id: 2\ndata: b\n\n");
  EXPECT_FALSE(splitter.is_short());
}

TEST(EventSplitterTest, LinesMayEndInEitherWay) {
  for (const std::string_view bytes :
       {"id: 1\ndata: a\n\r\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\n\r\n"}) {
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      EventSplitter splitter;
      auto count = 0;
      const auto on_event = [&count](std::string_view) { ++count; };
      splitter.Append(bytes.substr(0, cut), on_event);
      splitter.Append(bytes.substr(cut), on_event);
      EXPECT_EQ(count, 2) << bytes << " cut at " << cut;
      EXPECT_FALSE(splitter.has_partial_event());
    }
  }
}

TEST(EventSplitterTest, TextIsNoEvent) {
  for (const auto* text :
       {"internal error\n\n", "{\"error\": 1}\n\n",
        "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n"}) {
    EventSplitter splitter;
    EXPECT_EQ(Split(splitter, text), "") << text;
    EXPECT_TRUE(splitter.is_out_of_order()) << text;
  }
  EventSplitter splitter;
  const std::string_view rest = ": comment\n\nretry: 30\n\ndata\n\n";
  EXPECT_EQ(Split(splitter, rest), rest);
  EXPECT_FALSE(splitter.is_out_of_order());
}

TEST(EventSplitterTest, OnlyNumberedEventsContinueAStream) {
  EventSplitter splitter;
  Split(splitter, "id: 1\ndata: a\n\n");
  EXPECT_TRUE(splitter.can_continue());
  splitter.Restart();
  EXPECT_EQ(Split(splitter, ": comment\n\ndata: b\n\n"), ": comment\n\n");
  EXPECT_TRUE(splitter.is_out_of_order());
  EventSplitter unnumbered;
  Split(unnumbered, "data: a\n\n");
  EXPECT_FALSE(unnumbered.can_continue());
}

}  // namespace
}  // namespace papayaplank
