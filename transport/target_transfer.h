// One attempt to send a request to a target, and the evaluation of its answer.
// Internal to the transport library.
#ifndef TRANSPORT_TARGET_TRANSFER_H_
#define TRANSPORT_TARGET_TRANSFER_H_

#include <curl/curl.h>

#include <string>
#include <string_view>

#include "transport/stream_parser.h"
#include "transport/target_client.h"

namespace papayaplank {

// One libcurl transfer; used by the client's task only.
class TargetTransfer {
 public:
  TargetTransfer(TargetRequest request, const TargetClientOptions& options,
                 const TargetClientHooks& hooks, Time now);
  ~TargetTransfer();
  TargetTransfer(const TargetTransfer&) = delete;
  auto operator=(const TargetTransfer&) -> TargetTransfer& = delete;

  auto easy() const -> CURL* { return easy_; }
  auto request() const -> const TargetRequest& { return request_; }

  // Evaluates a transfer that libcurl ended with `code`, and ends the answer in
  // its buffer if it is complete.
  auto Finish(CURLcode code) -> AttemptReport;
  // Reports a transfer that the client ends because of `result`.
  auto ReportEnd(AttemptResult result) -> AttemptReport;
  // Continues a paused transfer after the answer buffer has drained. Returns
  // false if it can't go on: the caller has to end it.
  auto Resume(Time now) -> bool;
  // Whether no byte has arrived for longer than the progress timeout.
  auto IsStalled(Time now) const -> bool;
  // Returns the observations since the previous call.
  auto CollectProgress() -> TargetProgress;

 private:
  static auto OnHeader(char* data, std::size_t size, std::size_t count,
                       void* user) -> std::size_t;
  static auto OnBody(char* data, std::size_t size, std::size_t count,
                     void* user) -> std::size_t;

  auto SetUp() -> void;
  auto SetHeaders() -> void;
  auto ProcessHeader(std::string_view line) -> void;
  auto BeginHead(std::string_view status_line) -> void;
  auto EndHead() -> void;
  auto ProcessBody(std::string_view bytes) -> std::size_t;
  auto ObserveArrival() -> void;
  auto SendHead() -> void;
  auto IsRefused() const -> bool;
  // Whether an earlier answer has used the connection.
  auto IsReusedConnection() const -> bool;
  // Whether the answer is a stream that another target can continue.
  auto IsTokenStream() const -> bool;
  // Whether a short answer is held back until it is complete, so that a retry
  // can replace an incomplete one.
  auto ShouldHoldBody() const -> bool;
  // Whether this answer cannot continue the part that the caller has received.
  auto CannotContinueAnswer() const -> bool;
  // Whether nothing of the body may reach the caller.
  auto IsUnusable() const -> bool;
  auto IsCompleteWithoutFraming() const -> bool;
  auto Report(AttemptResult result) const -> AttemptReport;

  TargetRequest request_;
  const TargetClientOptions& options_;
  const TargetClientHooks& hooks_;
  CURL* easy_;
  curl_slist* headers_ = nullptr;
  std::string url_;
  AnswerHead head_;
  bool is_event_stream_ = false;
  bool is_chunked_ = false;
  // The body has transfer codings besides chunks.
  bool has_unknown_coding_ = false;
  bool target_reports_not_run_ = false;
  bool has_request_id_ = false;
  // The tokens after which the answer says that it begins.
  int begins_after_tokens_ = 0;
  // The members above describe the current head; this one is set at the end of
  // the final one. Later lines are trailers.
  bool is_head_complete_ = false;
  // The answer names another request, or may be a late one to another request.
  bool is_crossed_ = false;
  // The caller has received a part of the answer from an earlier attempt: only
  // the remainder of that stream may follow.
  const bool is_continuation_;
  bool is_paused_ = false;
  // A part of the body was not taken, so no later part may be either.
  bool is_abandoned_ = false;
  bool has_sent_head_ = false;
  StreamParser parser_;
  // Body of an answer that is no stream of tokens, to hold it back or to read
  // the cost that it reports. At most `kMaxUsageBodyBytes`.
  std::string body_;
  int tokens_ = 0;
  Time started_at_;
  Time last_arrival_;
  bool has_first_byte_ = false;
  TargetProgress progress_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_TARGET_TRANSFER_H_
