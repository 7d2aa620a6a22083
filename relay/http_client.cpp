// Calls over a persistent connection.
#include "relay/http_client.h"

#include "relay/socket_options.h"

namespace papayaplank {
namespace {

// Several times the longest answer of the store, which is 1 MB of rows.
constexpr std::size_t kMaxReplyBytes = 8388608;

}  // namespace

HttpClient::HttpClient(asio::io_context& io, std::string address)
    : io_(io), address_(std::move(address)), timer_(io) {}

HttpClient::~HttpClient() {
  if (connection_ != nullptr) connection_->Close();
}

auto HttpClient::Call(const HttpCall& call, Duration timeout,
                      ReplyHook on_reply) -> void {
  on_reply_ = std::move(on_reply);
  reply_ = {};
  reply_.sent_at = MonotonicClock::now();
  ++calls_;
  timer_.expires_after(timeout);
  timer_.async_wait([this](error_code error) {
    if (error || !on_reply_) return;
    Finish(
        Error{ErrorCode::kUnknownEffect, address_ + " did not answer in time"});
  });
  if (connection_ != nullptr && connection_->is_open() &&
      connection_->HasUnexpectedInput()) {
    connection_->Close();
  }
  if (connection_ == nullptr || !connection_->is_open()) {
    const auto endpoint = ParseTcpEndpoint(address_);
    if (!endpoint) {
      return Finish(
          Error{ErrorCode::kInvalidArgument,
                "the address '" + address_ + "' is not of the form IP:port"});
    }
    connection_ = std::make_shared<TargetConnection>(io_);
    connection_->Connect(*endpoint);
  }
  std::string head =
      call.method + " " + call.path + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
  std::shared_ptr<const std::string> body;
  if (!call.body.empty()) {
    body = std::make_shared<const std::string>(call.body);
    head += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body->size()) + "\r\n";
  }
  connection_->Send(
      head + "\r\n", body, false,
      TransferHooks{[this](int status, const HttpFields& fields) {
                      reply_.status = status;
                      reply_.fields = fields;
                      return HeadAction::kRead;
                    },
                    [this](std::string_view bytes) { AppendBody(bytes); },
                    [this](TransferEnd end) {
                      if (end == TransferEnd::kComplete ||
                          end == TransferEnd::kCompleteAtClose) {
                        return Finish(reply_);
                      }
                      Finish(
                          Error{end == TransferEnd::kNotConnected
                                    ? ErrorCode::kUnavailable
                                    : ErrorCode::kUnknownEffect,
                                "the connection to " + address_ + " failed"});
                    }});
}

auto HttpClient::AppendBody(std::string_view bytes) -> void {
  if (reply_.body.size() + bytes.size() <= kMaxReplyBytes) {
    reply_.body.append(bytes);
    return;
  }
  Finish(Error{ErrorCode::kUnknownEffect,
               "the answer of " + address_ + " is longer than " +
                   std::to_string(kMaxReplyBytes) + " bytes"});
}

auto HttpClient::Finish(Outcome<HttpReply> reply) -> void {
  if (!on_reply_) return;
  timer_.cancel();
  if (connection_ != nullptr) {
    if (IsOk(reply) && connection_->is_reusable()) {
      connection_->MarkIdle([] {});
    } else {
      connection_->Close();
      connection_.reset();
    }
  }
  const auto on_reply = std::exchange(on_reply_, nullptr);
  on_reply(std::move(reply));
}

}  // namespace papayaplank
