// A model of one target: what it has to do before a new request gets its
// first token. Load pattern: bursts that fill the prefill queue or the batch
// of some targets while others have room.
#ifndef ADMISSION_ENGINE_LOAD_H_
#define ADMISSION_ENGINE_LOAD_H_

#include <cstdint>
#include <deque>
#include <map>

#include "base/base.h"

namespace papayaplank {

// One router's requests at a target, as it tells its peers.
struct LoadShare {
  // Prompt tokens not yet read, of requests without a first token.
  double queued_tokens = 0;
  // Requests at the target, queued ones too.
  int requests = 0;
  // Tokens of memory that these requests will use.
  double memory_tokens = 0;
};

// What a new request would meet.
struct LoadForecast {
  // Time to the first token without reading the request's own prompt.
  Duration queue_wait{};
  // Time to read the request's own prompt.
  Duration own_prefill{};
  // Share of the target's batch that is taken, 0 to 1 and beyond.
  double batch_share = 0;
  bool has_memory = true;

  auto first_token() const -> Duration { return queue_wait + own_prefill; }
};

// Bounds of the target; a plain service has no memory bound.
struct TargetSize {
  int slots = 1;
  // Zero means that memory does not bind.
  double memory_tokens = 0;
};

// Number of a request at this router.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

// What is running and queued at one target, by this router and its peers.
class EngineLoad {
 public:
  auto SetSize(TargetSize size) -> void { size_ = size; }
  // A restarted target holds no request and keeps no prompt.
  auto Reset() -> void;

  // This router's own requests.
  auto Start(AttemptId attempt, double prompt_tokens, double memory_tokens,
             Time now) -> void;
  auto RecordFirstToken(AttemptId attempt, Time now) -> void;
  auto End(AttemptId attempt, Time now) -> void;

  // What a peer says that it has there; replaces its last word.
  auto SetPeerShare(const RouterId& peer, const LoadShare& share, Time now)
      -> void;

  auto Forecast(double prompt_tokens, double memory_tokens, Time now) const
      -> LoadForecast;
  // This router's share, for its peers.
  auto OwnShare() const -> LoadShare { return own_; }
  auto is_idle() const -> bool { return own_.requests == 0; }
  // Requests there, of this router and its peers.
  auto requests(Time now) const -> int { return TotalLoad(now).requests; }

  // Prompt tokens read in a millisecond, as learnt from first tokens.
  auto prefill_rate() const -> double { return prefill_rate_; }

 private:
  struct Running {
    double prompt_tokens = 0;
    double memory_tokens = 0;
    Time started_at{};
    // Queue before this request when it was sent.
    double tokens_before = 0;
    Duration expected{};
    bool has_first_token = false;
  };
  struct PeerShare {
    LoadShare share;
    Time received_at{};
  };

  auto TotalLoad(Time now) const -> LoadShare;
  auto UpdateLatencyEstimates(const Running& running, Duration elapsed) -> void;
  // How far the oldest request without a first token is behind its forecast.
  auto Overdue(Time now) const -> Duration;

  TargetSize size_;
  LoadShare own_;
  std::map<AttemptId, Running> running_;
  std::map<RouterId, PeerShare> peers_;
  // Numbers of requests without a first token, oldest first; may hold numbers
  // of requests that have ended.
  mutable std::deque<AttemptId> waiting_;
  // Tokens a millisecond; source: the first tokens of requests that met a
  // queue. Starts low, so that an unknown target is not flooded.
  double prefill_rate_ = 30;
  // Time to the first token of a short prompt at an idle target, ms.
  double base_ms_ = 15;
  // Time that a request holds its slot, ms.
  double hold_ms_ = 1000;
};

}  // namespace papayaplank

#endif  // ADMISSION_ENGINE_LOAD_H_
