// Tests that the length of a message is never guessed.
#include <gtest/gtest.h>

#include <array>

#include "relay/message_reader.h"

namespace papayaplank {
namespace {

constexpr std::size_t kLimit = 4096;

// What becomes of a message.
template <typename Reader>
struct Reading {
  typename Reader::Progress progress{};
  HttpFields fields;
  std::string body;
  std::string rest;
};

template <typename Reader>
auto ReadMessage(std::string bytes, std::size_t piece = kLimit)
    -> Reading<Reader> {
  Reading<Reader> reading;
  Reader reader(kLimit, kLimit, [&reading](std::string_view part) {
    reading.body.append(part);
  });
  using Progress = typename Reader::Progress;
  for (std::size_t i = 0; i < bytes.size(); i += piece) {
    reading.rest.append(bytes.substr(i, piece));
    reading.progress = reader.Read(reading.rest);
    if (reading.progress != Progress::kNeedMore &&
        reading.progress != Progress::kHeader) {
      break;
    }
  }
  reading.fields = reader.fields();
  return reading;
}

auto Request(const std::string& headers, const std::string& body)
    -> std::string {
  return "POST /write/1 HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

auto Answer(const std::string& headers, const std::string& body)
    -> std::string {
  return "HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body;
}

// A body of unknown coding was taken for the next request (UNASKED).
TEST(MessageFramingTest, ABodyOfUnknownCodingIsNotTheNextRequest) {
  const auto smuggled = Request("Content-Length: 0\r\n", "");
  const std::array headers = {
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: chunked;q=1\r\n",
      "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding: \x0b"
      "chunked\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: ,\r\n",
      "transfer-encoding: deflate\r\nContent-Length: 5\r\n",
      "Content-Length: 5\r\nTRANSFER-ENCODING: deflate\r\n"};
  for (const auto* header : headers) {
    for (const auto piece : {kLimit, std::size_t{1}}) {
      const auto reading =
          ReadMessage<RequestReader>(Request(header, smuggled), piece);
      EXPECT_EQ(reading.progress, RequestReader::Progress::kInvalid) << header;
      EXPECT_EQ(reading.body, "") << header;
    }
  }
}

// A chunked body in a further coding reached the target without that coding.
TEST(MessageFramingTest, ACodedBodyIsNotPassedOnAsPlain) {
  const std::array headers = {
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"};
  for (const auto* header : headers) {
    const auto request =
        ReadMessage<RequestReader>(Request(header, "2\r\nab\r\n0\r\n\r\n"));
    EXPECT_TRUE(request.progress ==
                    RequestReader::Progress::kUnsupportedCoding ||
                request.progress == RequestReader::Progress::kInvalid)
        << header;
    EXPECT_EQ(request.body, "") << header;
  }
  EXPECT_EQ(
      ReadMessage<RequestReader>(Request(headers[0], "2\r\nab\r\n0\r\n\r\n"))
          .progress,
      RequestReader::Progress::kUnsupportedCoding);
}

// A client of HTTP/1.0 knows no chunks; its body would be read another way by
// whoever stands before the router.
TEST(MessageFramingTest, ARequestOfHttp10HasNoCoding) {
  const auto reading = ReadMessage<RequestReader>(
      "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(reading.progress, RequestReader::Progress::kInvalid);
}

// The coded body of an answer was relayed without its coding (MIXED).
TEST(MessageFramingTest, AnAnswerOfUnknownCodingIsNoAnswer) {
  const std::array headers = {
      "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n"};
  for (const auto* header : headers) {
    const auto reading =
        ReadMessage<ResponseReader>(Answer(header, "2\r\nab\r\n0\r\n\r\n"));
    EXPECT_TRUE(reading.progress == ResponseReader::Progress::kInvalid ||
                reading.progress ==
                    ResponseReader::Progress::kUnsupportedCoding)
        << header;
    EXPECT_EQ(reading.body, "") << header;
  }
}

// Fields behind the body passed for headers, and went on with them (UNASKED).
TEST(MessageFramingTest, TrailerFieldsAreNoHeaders) {
  const std::string body = "2\r\nab\r\n0\r\nCredential: key-2\r\n\r\n";
  const auto headers = "Transfer-Encoding: chunked\r\nTrailer: Credential\r\n";
  for (const auto piece : {kLimit, std::size_t{1}}) {
    const auto request =
        ReadMessage<RequestReader>(Request(headers, body), piece);
    EXPECT_EQ(request.progress, RequestReader::Progress::kDone);
    EXPECT_EQ(request.fields.size(), 3U);
    const auto answer =
        ReadMessage<ResponseReader>(Answer(headers, body), piece);
    EXPECT_EQ(answer.progress, ResponseReader::Progress::kDone);
    EXPECT_EQ(answer.fields.size(), 2U);
  }
}

TEST(MessageFramingTest, ChunksAreReadWhateverTheSpellingOfTheirName) {
  for (const auto* header :
       {"Transfer-Encoding: chunked\r\n", "transfer-encoding:CHUNKED\r\n",
        "Transfer-Encoding: , Chunked \r\n"}) {
    const auto reading =
        ReadMessage<RequestReader>(Request(header, "2\r\nab\r\n0\r\n\r\nGET"));
    EXPECT_EQ(reading.progress, RequestReader::Progress::kDone) << header;
    EXPECT_EQ(reading.body, "ab") << header;
    EXPECT_EQ(reading.rest, "GET") << header;
  }
}

}  // namespace
}  // namespace papayaplank
