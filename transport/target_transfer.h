// One attempt at a target: what has arrived and what it means. Internal to
// the transport library.
#ifndef TRANSPORT_TARGET_TRANSFER_H_
#define TRANSPORT_TARGET_TRANSFER_H_

#include <curl/curl.h>

#include <string>
#include <string_view>

#include "transport/stream_parser.h"
#include "transport/target_client.h"

namespace papayaplank {

// State of one transfer; used by the client's task only.
class TargetTransfer {
 public:
  TargetTransfer(TargetRequest request, const TargetClientOptions& options,
                 const TargetClientHooks& hooks, Time now);
  ~TargetTransfer();
  TargetTransfer(const TargetTransfer&) = delete;
  auto operator=(const TargetTransfer&) -> TargetTransfer& = delete;

  auto easy() const -> CURL* { return easy_; }
  auto request() const -> const TargetRequest& { return request_; }

  // The transfer ended by itself with `code`.
  auto Finish(CURLcode code) -> AttemptReport;
  // The client ended it for `result`.
  auto Stop(AttemptResult result) -> AttemptReport;
  // Lets bytes flow again after the caller's buffer drained.
  auto Resume(Time now) -> void;
  auto IsStalled(Time now) const -> bool;
  // Observations since the last call.
  auto CollectProgress() -> TargetProgress;

 private:
  static auto OnHeader(char* data, std::size_t size, std::size_t count,
                       void* user) -> std::size_t;
  static auto OnBody(char* data, std::size_t size, std::size_t count,
                     void* user) -> std::size_t;

  auto SetUp() -> void;
  auto SetHeaders() -> void;
  auto ProcessHeader(std::string_view line) -> void;
  auto ProcessBody(std::string_view bytes) -> std::size_t;
  auto ObserveArrival() -> void;
  auto SendHead() -> void;
  auto IsRefused() const -> bool;
  // Whether the answer is kept here until it is whole, so that another
  // attempt can replace one that is cut.
  auto ShouldHoldBody() const -> bool;
  // Whether this answer cannot go on where the caller's part ends.
  auto CannotContinueAnswer() const -> bool;
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
  bool target_reports_not_run_ = false;
  bool has_wrong_request_id_ = false;
  // The caller has a part of the answer already: only the rest of that stream
  // may follow.
  const bool is_continuation_;
  bool is_paused_ = false;
  bool has_sent_head_ = false;
  StreamParser parser_;
  // The body of a whole answer, for its stated cost; bounded.
  std::string body_;
  int tokens_ = 0;
  Time started_at_;
  Time last_arrival_;
  bool has_first_byte_ = false;
  TargetProgress progress_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_TARGET_TRANSFER_H_
