// Models the load of one target: the work it has to do before a new request
// gets its first token. Load pattern: bursts that fill the prefill queue or the
// batch of some targets while others have free capacity.
#ifndef ADMISSION_ENGINE_LOAD_H_
#define ADMISSION_ENGINE_LOAD_H_

#include <cstdint>
#include <deque>
#include <map>

#include "base/base.h"

namespace papayaplank {

// One router's requests at a target, as reported to its peers.
struct LoadShare {
  // Prompt tokens that the target has yet to read for requests without a first
  // token.
  double queued_tokens = 0;
  // Requests at the target, including queued ones.
  int requests = 0;
  // Tokens of memory that these requests will use.
  double memory_tokens = 0;
};

// Conditions that a new request would find at a target.
struct LoadForecast {
  // Time to the first token, without the time to read the request's prompt.
  Duration queue_wait{};
  // Time to read the request's prompt.
  Duration own_prefill{};
  // Requests at the target divided by its slots; above 1, some have to wait.
  double batch_share = 0;
  // The target has memory for the request.
  bool has_memory = true;

  auto first_token() const -> Duration { return queue_wait + own_prefill; }
};

// Capacity of a target; one that is not a model engine has no memory limit.
struct TargetSize {
  int slots = 1;
  // Zero means no limit.
  double memory_tokens = 0;
};

// Identifies an attempt, of all those that this router made.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

// Requests running and queued at one target, from this router and its peers.
class EngineLoad {
 public:
  auto SetSize(TargetSize size) -> void { size_ = size; }
  // The target restarted: no request is left there.
  auto Reset() -> void;

  // Attempts of this router. `prompt_tokens` are those that the target has to
  // read, `memory_tokens` the memory that the request will use, in tokens.
  auto Start(AttemptId attempt, double prompt_tokens, double memory_tokens,
             Time now) -> void;
  auto RecordFirstToken(AttemptId attempt, Time now) -> void;
  auto End(AttemptId attempt, Time now) -> void;

  // The requests of all other routers.
  auto SetOthers(const LoadShare& others) -> void { others_ = others; }

  // Conditions for a new request with these tokens, counted as in `Start`.
  auto Forecast(double prompt_tokens, double memory_tokens, Time now) const
      -> LoadForecast;
  // This router's requests, for reports to peers.
  auto OwnShare() const -> LoadShare { return own_; }
  // Whether this router has no requests there.
  auto is_idle() const -> bool { return own_.requests == 0; }
  // Requests of this router and its peers.
  auto requests() const -> int { return TotalLoad().requests; }

  // Prompt tokens per millisecond, estimated from times to the first token.
  auto prefill_rate() const -> double { return prefill_rate_; }

 private:
  struct OpenAttempt {
    double prompt_tokens = 0;
    double memory_tokens = 0;
    Time started_at{};
    // Tokens that were queued before this request when it was sent.
    double tokens_before = 0;
    // Forecast of the time to the first token.
    Duration expected{};
    bool has_first_token = false;
  };

  auto TotalLoad() const -> LoadShare;
  auto UpdateLatencyEstimates(const OpenAttempt& open_attempt, Duration elapsed)
      -> void;
  // How far the oldest request without a first token exceeds its forecast.
  auto Overdue(Time now) const -> Duration;

  TargetSize size_;
  LoadShare own_;
  std::map<AttemptId, OpenAttempt> open_attempts_;
  LoadShare others_;
  // Attempts without a first token, oldest first. Attempts that got one or
  // ended are removed only when they reach the front.
  mutable std::deque<AttemptId> without_first_token_;
  // Prompt tokens per millisecond, estimated from requests that had a long
  // queue before them. Starts low, so that a new target is not overloaded.
  double prefill_rate_ = 30;
  // Time to the first token behind a short queue, ms.
  double base_ms_ = 15;
  // Time that a request holds its slot, ms.
  double hold_ms_ = 1000;
};

}  // namespace papayaplank

#endif  // ADMISSION_ENGINE_LOAD_H_
