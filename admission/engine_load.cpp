// Forecasts the time to the first token from moving averages.
#include "admission/engine_load.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A peer's share is ignored if no report confirmed it for this long: five
// report periods.
constexpr Duration kPeerShareTimeout = milliseconds(1500);
// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;
// Queued tokens from which a sample serves to estimate the prefill rate;
// samples with fewer serve to estimate the base time.
constexpr double kMinTokensForRate = 3000;
// Limits of the estimate, in tokens per millisecond.
constexpr double kMinPrefillRate = 1;
constexpr double kMaxPrefillRate = 500;
// Share of the memory that admission uses. The rest absorbs errors of the
// estimate, as a target that runs out of memory has to read a request again.
constexpr double kPlannedMemoryShare = 0.92;

auto ToMs(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

auto FromMs(double ms) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

auto Average(double& average, double sample, double weight) -> void {
  average += weight * (sample - average);
}

}  // namespace

auto EngineLoad::Reset() -> void {
  own_ = {};
  running_.clear();
  peers_.clear();
  waiting_.clear();
}

auto EngineLoad::Start(AttemptId attempt, double prompt_tokens,
                       double memory_tokens, Time now) -> void {
  const auto forecast = Forecast(prompt_tokens, memory_tokens, now);
  Running running;
  running.prompt_tokens = prompt_tokens;
  running.memory_tokens = memory_tokens;
  running.started_at = now;
  running.tokens_before = TotalLoad(now).queued_tokens;
  running.expected = forecast.first_token();
  running_[attempt] = running;
  waiting_.push_back(attempt);
  own_.queued_tokens += prompt_tokens;
  own_.memory_tokens += memory_tokens;
  ++own_.requests;
}

auto EngineLoad::RecordFirstToken(AttemptId attempt, Time now) -> void {
  const auto found = running_.find(attempt);
  if (found == running_.end() || found->second.has_first_token) return;
  auto& running = found->second;
  running.has_first_token = true;
  own_.queued_tokens =
      std::max(0.0, own_.queued_tokens - running.prompt_tokens);
  UpdateLatencyEstimates(running, now - running.started_at);
}

auto EngineLoad::UpdateLatencyEstimates(const Running& running,
                                        Duration elapsed) -> void {
  const auto tokens = running.tokens_before + running.prompt_tokens;
  const auto elapsed_ms = ToMs(elapsed);
  if (tokens < kMinTokensForRate) {
    Average(base_ms_, elapsed_ms, kSampleWeight);
    return;
  }
  const auto rate = tokens / std::max(1.0, elapsed_ms - base_ms_ / 2);
  Average(prefill_rate_, std::clamp(rate, kMinPrefillRate, kMaxPrefillRate),
          kSampleWeight);
}

auto EngineLoad::End(AttemptId attempt, Time now) -> void {
  const auto found = running_.find(attempt);
  if (found == running_.end()) return;
  const auto& running = found->second;
  if (!running.has_first_token) {
    own_.queued_tokens =
        std::max(0.0, own_.queued_tokens - running.prompt_tokens);
  } else {
    Average(hold_ms_, ToMs(now - running.started_at), kSampleWeight);
  }
  own_.memory_tokens =
      std::max(0.0, own_.memory_tokens - running.memory_tokens);
  --own_.requests;
  running_.erase(found);
}

auto EngineLoad::SetPeerShare(const RouterId& peer, const LoadShare& share,
                              Time now) -> void {
  if (share.requests == 0 && share.queued_tokens == 0) {
    peers_.erase(peer);
    return;
  }
  peers_[peer] = PeerShare{share, now};
}

auto EngineLoad::TotalLoad(Time now) const -> LoadShare {
  auto total = own_;
  for (const auto& [peer, peer_share] : peers_) {
    if (now - peer_share.received_at > kPeerShareTimeout) continue;
    total.queued_tokens += peer_share.share.queued_tokens;
    total.memory_tokens += peer_share.share.memory_tokens;
    total.requests += peer_share.share.requests;
  }
  return total;
}

auto EngineLoad::Overdue(Time now) const -> Duration {
  while (!waiting_.empty()) {
    const auto found = running_.find(waiting_.front());
    if (found != running_.end() && !found->second.has_first_token) break;
    waiting_.pop_front();
  }
  if (waiting_.empty()) return Duration{};
  const auto& oldest = running_.at(waiting_.front());
  return std::max(Duration{}, now - oldest.started_at - oldest.expected);
}

auto EngineLoad::Forecast(double prompt_tokens, double memory_tokens,
                          Time now) const -> LoadForecast {
  const auto total = TotalLoad(now);
  LoadForecast forecast;
  const auto slots = std::max(1, size_.slots);
  forecast.batch_share = static_cast<double>(total.requests) / slots;
  auto wait_ms = base_ms_ + total.queued_tokens / prefill_rate_;
  if (total.requests >= slots) {
    wait_ms += (total.requests - slots + 1) * hold_ms_ / slots;
  }
  forecast.queue_wait = std::max(FromMs(wait_ms), Overdue(now));
  forecast.own_prefill = FromMs(prompt_tokens / prefill_rate_);
  if (size_.memory_tokens > 0) {
    forecast.has_memory = total.memory_tokens + memory_tokens <=
                          size_.memory_tokens * kPlannedMemoryShare;
  }
  return forecast;
}

}  // namespace papayaplank
