// Parser callbacks and limits.
#include "relay/message_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>

namespace papayaplank {
namespace {

namespace http = boost::beast::http;

// HTTP/1.0, as Beast writes versions.
constexpr int kHttp10 = 10;

template <typename Progress>
auto ToProgress(const boost::beast::error_code& error) -> Progress {
  if (error == http::error::body_limit) return Progress::kBodyTooLarge;
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return Progress::kHeaderTooLarge;
  }
  return Progress::kInvalid;
}

}  // namespace

template <bool kIsRequest>
MessageReader<kIsRequest>::MessageReader(std::size_t header_limit,
                                         std::uint64_t body_limit,
                                         BodyHook on_body)
    : header_limit_(header_limit), on_body_(std::move(on_body)) {
  this->header_limit(static_cast<std::uint32_t>(header_limit));
  this->body_limit(body_limit);
  this->eager(true);
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::Read(std::string& bytes) -> Progress {
  const auto progress = Parse(bytes);
  if (!read_body_.empty()) on_body_(std::exchange(read_body_, std::string()));
  return progress;
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::Parse(std::string& bytes) -> Progress {
  while (!this->is_done() && !bytes.empty()) {
    ParseError error;
    const auto taken =
        this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    bytes.erase(0, taken);
    if (error == http::error::need_more) {
      if (taken != 0) continue;
      // Only lines of the head, of chunk headers and of the trailer wait for
      // more bytes; the parser limits none but the first.
      if (bytes.size() > header_limit_) return Progress::kHeaderTooLarge;
      break;
    }
    if (is_coding_unsupported_) return Progress::kUnsupportedCoding;
    if (error) return ToProgress<Progress>(error);
  }
  if (this->is_done()) return Progress::kDone;
  if (this->is_header_done() && !is_header_reported_) {
    is_header_reported_ = true;
    return Progress::kHeader;
  }
  return Progress::kNeedMore;
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::FinishAtEndOfStream() -> bool {
  if (this->is_done()) return true;
  if (!this->is_header_done()) return false;
  ParseError error;
  this->put_eof(error);
  return !error && this->is_done();
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_request_impl(http::verb, Text method,
                                                Text request_target,
                                                int version, ParseError&)
    -> void {
  is_http_1_0_ = version == kHttp10;
  method_.assign(method.data(), method.size());
  request_target_.assign(request_target.data(), request_target.size());
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_response_impl(int code, Text, int,
                                                 ParseError&) -> void {
  status_ = code;
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::CheckTransferCodings(ParseError& error)
    -> void {
  if (!has_transfer_encoding_) return;
  // Without chunks at the end, Beast takes the message for one without a body,
  // and the body for the next message.
  if (is_http_1_0_ || !this->chunked()) {
    error = http::error::bad_transfer_encoding;
    return;
  }
  if (transfer_codings_ == 1) return;
  is_coding_unsupported_ = true;
  error = http::error::bad_transfer_encoding;
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_field_impl(http::field field, Text name,
                                              Text value, ParseError&) -> void {
  // Only fields that are known to be harmless could be merged from a trailer.
  if (this->is_header_done()) return;
  if (field == http::field::transfer_encoding) {
    has_transfer_encoding_ = true;
    const http::token_list codings{value};
    transfer_codings_ +=
        static_cast<std::size_t>(std::distance(codings.begin(), codings.end()));
  }
  fields_.emplace_back(std::string(name.data(), name.size()),
                       std::string(value.data(), value.size()));
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_header_impl(ParseError& error) -> void {
  CheckTransferCodings(error);
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t>&, ParseError&) -> void {}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_body_impl(Text body, ParseError&)
    -> std::size_t {
  read_body_.append(body.data(), body.size());
  return body.size();
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_chunk_header_impl(std::uint64_t, Text,
                                                     ParseError&) -> void {}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_chunk_body_impl(std::uint64_t, Text body,
                                                   ParseError&) -> std::size_t {
  read_body_.append(body.data(), body.size());
  return body.size();
}

template <bool kIsRequest>
auto MessageReader<kIsRequest>::on_finish_impl(ParseError&) -> void {}

template class MessageReader<true>;
template class MessageReader<false>;

}  // namespace papayaplank
