// Incremental parser of HTTP/1.1 messages, based on Boost.Beast's parser. It
// doesn't store the body: body bytes go to a hook as they arrive.
#ifndef RELAY_MESSAGE_READER_H_
#define RELAY_MESSAGE_READER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <utility>  // Boost 1.74 relies on it without including it.

#include "platform/platform.h"

namespace papayaplank {

// Reads one message; each message needs a new reader.
template <bool kIsRequest>
class MessageReader : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using BodyHook = std::function<void(std::string_view)>;

  // The limits are in bytes; a longer message gives `kHeaderTooLarge` or
  // `kBodyTooLarge`. The header limit holds for chunk headers and the trailer
  // as well.
  MessageReader(std::size_t header_limit, std::uint64_t body_limit,
                BodyHook on_body);

  // State after a read.
  enum class Progress {
    kNeedMore,  // The message is incomplete; more bytes are needed.
    kHeader,    // This read completed the head: start line and fields; once.
    kDone,      // The message is complete.
    kInvalid,   // The bytes are not a valid HTTP message.
    // The body has a transfer coding besides chunks.
    kUnsupportedCoding,
    kHeaderTooLarge,
    kBodyTooLarge,
  };
  // Parses the front of `bytes` and removes what was parsed. The body hook is
  // called at most once, with all body bytes of this read, as a sender may use
  // many small chunks.
  auto Read(std::string& bytes) -> Progress;
  // Call when the sender has closed the connection. Returns whether that
  // completes the message, as for an answer without a length.
  auto FinishAtEndOfStream() -> bool;

  auto fields() -> HttpFields& { return fields_; }
  auto method() const -> const std::string& { return method_; }
  auto request_target() const -> const std::string& { return request_target_; }
  auto status() const -> int { return status_; }
  // Whether a request is of HTTP/1.0, whose clients know no chunks.
  auto is_http_1_0() const -> bool { return is_http_1_0_; }

 private:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Text = boost::beast::string_view;
  using ParseError = boost::beast::error_code;

  // Callbacks of the Beast parser.
  auto on_request_impl(boost::beast::http::verb verb, Text method,
                       Text request_target, int version, ParseError& error)
      -> void override;
  auto on_response_impl(int code, Text reason, int version, ParseError& error)
      -> void override;
  auto on_field_impl(boost::beast::http::field field, Text name, Text value,
                     ParseError& error) -> void override;
  auto on_header_impl(ParseError& error) -> void override;
  auto on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ParseError& error) -> void override;
  auto on_body_impl(Text body, ParseError& error) -> std::size_t override;
  auto on_chunk_header_impl(std::uint64_t size, Text extensions,
                            ParseError& error) -> void override;
  auto on_chunk_body_impl(std::uint64_t remain, Text body, ParseError& error)
      -> std::size_t override;
  auto on_finish_impl(ParseError& error) -> void override;

  // Checks that the transfer codings of the body are none or chunks alone.
  // Anything else has no length that the reader could know.
  auto CheckTransferCodings(ParseError& error) -> void;
  auto Parse(std::string& bytes) -> Progress;

  std::size_t header_limit_;
  BodyHook on_body_;
  // Body bytes of the current read; empty between reads.
  std::string read_body_;
  HttpFields fields_;
  std::string method_;
  std::string request_target_;
  int status_ = 0;
  bool has_transfer_encoding_ = false;
  // In all fields that name transfer codings.
  std::size_t transfer_codings_ = 0;
  bool is_coding_unsupported_ = false;
  bool is_header_reported_ = false;
  bool is_http_1_0_ = false;
};

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

}  // namespace papayaplank

#endif  // RELAY_MESSAGE_READER_H_
