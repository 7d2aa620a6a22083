// libcurl options and callbacks of one attempt.
#include "transport/target_transfer.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace papayaplank {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
// Lower statuses (1xx) are interim.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::size_t kMaxUsageBodyBytes = 1 << 20;
constexpr std::size_t kMaxHeldBytes = 1 << 16;
constexpr long kReceiveBufferBytes = 16384;  // NOLINT: libcurl's type

auto EqualsIgnoringCase(std::string_view name, std::string_view wanted)
    -> bool {
  return name.size() == wanted.size() &&
         strncasecmp(name.data(), wanted.data(), name.size()) == 0;
}

// Headers that apply to one connection, and those that the router sets itself;
// they are not relayed.
auto IsHiddenFromCallers(std::string_view name) -> bool {
  for (const auto* each :
       {"connection", "keep-alive", "transfer-encoding", "te", "trailer",
        "upgrade", "proxy-connection", "content-length", "x-request-id",
        "x-papayaplank-ran", "x-resume-after-tokens", "date", "server"}) {
    if (EqualsIgnoringCase(name, each)) return true;
  }
  return false;
}

auto TrimWhitespace(std::string_view text) -> std::string_view {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() &&
         (text.back() == '\r' || text.back() == '\n' || text.back() == ' ')) {
    text.remove_suffix(1);
  }
  return text;
}

template <typename DurationType>
auto Milliseconds(DurationType duration) -> long {  // NOLINT: libcurl's type
  return static_cast<long>(                         // NOLINT: libcurl's type
      std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

TargetTransfer::TargetTransfer(TargetRequest request,
                               const TargetClientOptions& options,
                               const TargetClientHooks& hooks, Time now)
    : request_(std::move(request)),
      options_(options),
      hooks_(hooks),
      easy_(curl_easy_init()),
      is_continuation_(request_.answer->HasHead()),
      started_at_(now),
      last_arrival_(now) {
  progress_.id = request_.id;
  progress_.attempt = request_.attempt;
  SetUp();
}

TargetTransfer::~TargetTransfer() {
  curl_easy_cleanup(easy_);
  curl_slist_free_all(headers_);
}

auto TargetTransfer::SetUp() -> void {
  url_ = "http://" + request_.target.address + request_.path;
  curl_easy_setopt(easy_, CURLOPT_URL, url_.c_str());
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(options_.connect_timeout));
  curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(  // NOLINT: libcurl's type
                       options_.idle_connection.count()));
  curl_easy_setopt(easy_, CURLOPT_MAXLIFETIME_CONN,
                   static_cast<long>(  // NOLINT: libcurl's type
                       options_.connection_age.count()));
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  if (request_.is_single_use_connection) {
    // libcurl retries a request by itself when the target has closed a reused
    // connection; on a new connection it does not.
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  if (request_.method == "HEAD") curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  if (!request_.body->empty() || request_.method == "POST") {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body->size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body->data());
  }
  SetHeaders();
}

auto TargetTransfer::SetHeaders() -> void {
  const auto add = [this](const std::string& line) {
    headers_ = curl_slist_append(headers_, line.c_str());
  };
  // An empty "Expect:" keeps libcurl from sending "Expect: 100-continue".
  add("Expect:");
  add("X-Request-Id: " + request_.id.value());
  if (request_.resume_after_tokens > 0) {
    add("X-Resume-After-Tokens: " +
        std::to_string(request_.resume_after_tokens));
  }
  for (const auto& header : request_.headers) {
    add(header.name + ": " + header.value);
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
}

auto TargetTransfer::OnHeader(char* data, std::size_t size, std::size_t count,
                              void* user) -> std::size_t {
  static_cast<TargetTransfer*>(user)->ProcessHeader({data, size * count});
  return size * count;
}

auto TargetTransfer::OnBody(char* data, std::size_t size, std::size_t count,
                            void* user) -> std::size_t {
  return static_cast<TargetTransfer*>(user)->ProcessBody({data, size * count});
}

auto TargetTransfer::ProcessHeader(std::string_view line) -> void {
  last_arrival_ = MonotonicClock::now();
  if (is_head_complete_) return;
  if (line.substr(0, 5) == "HTTP/") return BeginHead(line);
  if (TrimWhitespace(line).empty()) return EndHead();
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return;
  const auto name = line.substr(0, colon);
  const auto value = TrimWhitespace(line.substr(colon + 1));
  if (EqualsIgnoringCase(name, "content-length")) {
    std::uint64_t length = 0;
    const auto parsed =
        std::from_chars(value.data(), value.data() + value.size(), length);
    if (parsed.ec == std::errc()) head_.length = length;
  }
  if (EqualsIgnoringCase(name, "transfer-encoding")) {
    is_chunked_ = EqualsIgnoringCase(value, "chunked");
    has_unknown_coding_ |= !is_chunked_;
  }
  if (EqualsIgnoringCase(name, "x-request-id")) {
    has_request_id_ = true;
    is_crossed_ |= value != request_.id.value();
  }
  if (EqualsIgnoringCase(name, "x-resume-after-tokens")) {
    std::from_chars(value.data(), value.data() + value.size(),
                    begins_after_tokens_);
  }
  if (EqualsIgnoringCase(name, "x-papayaplank-ran")) {
    target_reports_not_run_ = value == "no";
  }
  if (EqualsIgnoringCase(name, "x-target-leaving") && hooks_.on_leaving) {
    hooks_.on_leaving(request_.target.id);
  }
  if (EqualsIgnoringCase(name, "content-type")) {
    is_event_stream_ = value.substr(0, 17) == "text/event-stream";
    head_.headers.push_back({"Content-Type", std::string(value)});
    return;
  }
  if (IsHiddenFromCallers(name)) return;
  head_.headers.push_back({std::string(name), std::string(value)});
}

auto TargetTransfer::BeginHead(std::string_view status_line) -> void {
  head_ = AnswerHead{};
  is_event_stream_ = false;
  is_chunked_ = false;
  has_unknown_coding_ = false;
  target_reports_not_run_ = false;
  has_request_id_ = false;
  begins_after_tokens_ = 0;
  const auto space = status_line.find(' ');
  if (space == std::string_view::npos) return;
  std::from_chars(status_line.data() + space + 1,
                  status_line.data() + status_line.size(), head_.status);
}

auto TargetTransfer::EndHead() -> void {
  if (head_.status < kFirstFinalStatus) return;
  is_head_complete_ = true;
  // The chunks decide if a target sends both.
  if (is_chunked_) head_.length.reset();
  if (!has_request_id_ && IsReusedConnection()) is_crossed_ = true;
  // A connection is kept only while each of its answers names its request. A
  // repeated refusal may name it too: that of its next attempt.
  if (!has_request_id_ || is_crossed_ || IsRefused()) {
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
}

auto TargetTransfer::IsReusedConnection() const -> bool {
  long opened = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(easy_, CURLINFO_NUM_CONNECTS, &opened);
  return opened == 0;
}

auto TargetTransfer::IsTokenStream() const -> bool {
  // The events of a service are no tokens and are relayed as they are.
  return is_event_stream_ && head_.status == kOk && !request_.target.is_service;
}

auto TargetTransfer::IsRefused() const -> bool {
  const auto is_refusal =
      head_.status == kTooManyRequests || head_.status == kServiceUnavailable;
  return is_refusal && target_reports_not_run_;
}

auto TargetTransfer::ShouldHoldBody() const -> bool {
  return !is_event_stream_ && head_.length.has_value() && *head_.length > 0 &&
         *head_.length <= kMaxHeldBytes;
}

auto TargetTransfer::CannotContinueAnswer() const -> bool {
  return is_continuation_ && !IsTokenStream();
}

auto TargetTransfer::IsUnusable() const -> bool {
  if (is_abandoned_ || is_crossed_ || has_unknown_coding_ ||
      head_.status > kLastStatus || CannotContinueAnswer()) {
    return true;
  }
  return IsTokenStream() &&
         begins_after_tokens_ != request_.resume_after_tokens;
}

auto TargetTransfer::ProcessBody(std::string_view bytes) -> std::size_t {
  // Returning a count other than the offered one ends the transfer.
  if (IsRefused() && !is_crossed_) return bytes.size();
  if (IsUnusable() || parser_.is_done()) {
    is_abandoned_ = true;
    return 0;
  }
  if (request_.answer->SuspendWriterIfFull()) {
    is_paused_ = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  ObserveArrival();
  if (ShouldHoldBody()) {
    body_.append(bytes);
    return bytes.size();
  }
  SendHead();
  if (!IsTokenStream()) {
    if (body_.size() + bytes.size() <= kMaxUsageBodyBytes) {
      body_.append(bytes);
    }
    request_.answer->Append(bytes);
    return bytes.size();
  }
  const auto completed = parser_.Feed(bytes);
  if (parser_.is_too_long()) {
    is_abandoned_ = true;
    return 0;
  }
  tokens_ += completed.tokens;
  progress_.new_tokens += completed.tokens;
  if (!completed.events.empty()) request_.answer->Append(completed.events);
  if (parser_.is_done()) request_.answer->End();
  return bytes.size();
}

auto TargetTransfer::ObserveArrival() -> void {
  const auto now = MonotonicClock::now();
  const auto gap = now - (has_first_byte_ ? last_arrival_ : started_at_);
  const auto limit = has_first_byte_ ? options_.objective.token_gap
                                     : options_.objective.first_token;
  if (!request_.target.is_service) {
    ++progress_.latency.observations;
    if (gap > limit) ++progress_.latency.misses;
  }
  if (has_first_byte_) {
    hooks_.on_chunk_gap(request_, gap);
  } else {
    hooks_.on_first_byte(request_, now - request_.arrived_at);
  }
  has_first_byte_ = true;
  last_arrival_ = now;
}

auto TargetTransfer::SendHead() -> void {
  if (has_sent_head_) return;
  has_sent_head_ = true;
  auto head = head_;
  // A stream may continue at another target, so its length is not announced.
  if (IsTokenStream()) head.length.reset();
  request_.answer->SetHead(std::move(head));
}

auto TargetTransfer::IsCompleteWithoutFraming() const -> bool {
  return request_.method == "HEAD" || head_.status == kNoContent ||
         head_.status == kNotModified;
}

auto TargetTransfer::Finish(CURLcode code) -> AttemptReport {
  // The end mark completes a stream, however its connection ends.
  if (parser_.is_done()) return Report(AttemptResult::kComplete);
  if (is_crossed_) return Report(AttemptResult::kCrossed);
  if (code == CURLE_COULDNT_CONNECT) return Report(AttemptResult::kNotReached);
  if (code == CURLE_OPERATION_TIMEDOUT) {
    curl_off_t connected = 0;
    curl_easy_getinfo(easy_, CURLINFO_CONNECT_TIME_T, &connected);
    const auto never_connected = connected == 0;
    return Report(never_connected ? AttemptResult::kNotReached
                                  : AttemptResult::kSilent);
  }
  if (code != CURLE_OK || head_.status < kFirstFinalStatus) {
    return Report(AttemptResult::kBroken);
  }
  if (IsRefused()) return Report(AttemptResult::kRefused);
  // A stream without its end mark is incomplete.
  if (IsUnusable() || IsTokenStream()) return Report(AttemptResult::kBroken);
  // A body that ends with its connection may be incomplete.
  const auto is_framed = is_chunked_ || head_.length.has_value();
  if (!is_framed && !IsCompleteWithoutFraming()) {
    return Report(AttemptResult::kBroken);
  }
  const auto should_hold = ShouldHoldBody();
  if (!has_sent_head_ && !is_chunked_ && !should_hold) head_.length = 0;
  SendHead();
  if (should_hold) request_.answer->Append(body_);
  request_.answer->End();
  return Report(AttemptResult::kComplete);
}

auto TargetTransfer::ReportEnd(AttemptResult result) -> AttemptReport {
  return Report(parser_.is_done() ? AttemptResult::kComplete : result);
}

auto TargetTransfer::Report(AttemptResult result) const -> AttemptReport {
  AttemptReport report;
  report.result = result;
  report.status = head_.status;
  report.tokens = tokens_;
  report.has_caller_seen_head = request_.answer->HasHead();
  // Only such a stream is ever continued.
  report.is_resumable = IsTokenStream() || is_continuation_;
  if (request_.target.is_service) {
    report.cost = Cost{result == AttemptResult::kNotReached ||
                               result == AttemptResult::kRefused
                           ? 0.0
                           : 1.0};
    return report;
  }
  const auto reported =
      is_event_stream_ ? parser_.reported_cost() : ParseAnswerCost(body_);
  report.cost = Cost{reported.value_or(static_cast<double>(tokens_))};
  return report;
}

auto TargetTransfer::Resume(Time now) -> bool {
  if (!is_paused_) return true;
  is_paused_ = false;
  last_arrival_ = now;
  return curl_easy_pause(easy_, CURLPAUSE_CONT) == CURLE_OK;
}

auto TargetTransfer::IsStalled(Time now) const -> bool {
  return !is_paused_ && now - last_arrival_ > options_.progress_timeout;
}

auto TargetTransfer::CollectProgress() -> TargetProgress {
  auto progress = progress_;
  progress_.new_tokens = 0;
  progress_.latency = {};
  return progress;
}

}  // namespace papayaplank
