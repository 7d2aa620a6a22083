// HTTP client for targets over libcurl: one task serves all requests.
#ifndef TRANSPORT_TARGET_CLIENT_H_
#define TRANSPORT_TARGET_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "capacity/capacity.h"
#include "dispatch/dispatch.h"
#include "placement/placement.h"
#include "transport/answer_buffer.h"

namespace papayaplank {

// A request to send to a target. The body is shared between attempts.
struct TargetRequest {
  RequestId id;
  CustomerId customer;
  ClassId request_class;
  // When the caller's request was received completely.
  Time arrived_at{};
  // Number of the attempt, from 1.
  int attempt = 0;
  TargetInfo target;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::shared_ptr<const std::string> body;
  // Tokens that earlier attempts have relayed; the target continues after them.
  int resume_after_tokens = 0;
  // Use a new connection and don't reuse it, so that libcurl doesn't resend the
  // request.
  bool is_single_use_connection = false;
  std::shared_ptr<AnswerBuffer> answer;
};

// Timeouts and the latency objective of the client.
struct TargetClientOptions {
  // Longest time without a byte from a target. Time during which a full answer
  // buffer pauses the transfer doesn't count.
  Duration progress_timeout = seconds(10);
  // Longest time to connect to a target.
  Duration connect_timeout = milliseconds(500);
  // Longest idle time and age of a reused connection.
  seconds idle_connection = seconds(15);
  seconds connection_age = seconds(300);
  LatencyObjective objective;
};

// Tokens and latencies observed since the previous report.
struct TargetProgress {
  RequestId id;
  int attempt = 0;
  int new_tokens = 0;
  LatencySample latency;
};

// Callbacks of the client, called on its task.
struct TargetClientHooks {
  std::function<void(const TargetProgress&)> on_progress;
  // An attempt ended; also called for a cancelled one.
  std::function<void(const RequestId&, int attempt, const AttemptReport&)>
      on_end;
  // The first byte of an answer was received; the duration is the time since
  // `arrived_at`.
  std::function<void(const TargetRequest&, Duration)> on_first_byte;
  // A chunk was received; the duration is the time since the previous one.
  std::function<void(const TargetRequest&, Duration)> on_chunk_gap;
  // The target reported that it is leaving.
  std::function<void(const TargetId&)> on_leaving;
};

// Sends requests to targets and writes their answers to the answer buffers.
class TargetClient {
 public:
  TargetClient(TargetClientOptions options, TargetClientHooks hooks);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  auto operator=(const TargetClient&) -> TargetClient& = delete;

  // Starts an attempt and returns at once; `on_end` reports its end. The
  // previous attempt of the request must have ended.
  auto Start(TargetRequest request) -> void;
  // Ends an attempt and its connection to the target; ignored if the attempt
  // has ended.
  auto Cancel(const RequestId& id, int attempt) -> void;

 private:
  class Loop;

  std::unique_ptr<Loop> loop_;
  std::thread task_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_TARGET_CLIENT_H_
