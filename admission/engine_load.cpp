// Forecasts the time to the first token from moving averages.
#include "admission/engine_load.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Weight of a new sample in the moving averages.
constexpr double kSampleWeight = 0.1;
// A sample with at least this many queued tokens serves to estimate the prefill
// rate, one with fewer to estimate the base time.
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

auto UpdateAverage(double& average, double sample, double weight) -> void {
  average += weight * (sample - average);
}

}  // namespace

auto EngineLoad::Reset() -> void {
  own_ = {};
  open_attempts_.clear();
  others_ = {};
  without_first_token_.clear();
}

auto EngineLoad::Start(AttemptId attempt, double prompt_tokens,
                       double memory_tokens, Time now) -> void {
  const auto forecast = Forecast(prompt_tokens, memory_tokens, now);
  OpenAttempt open_attempt;
  open_attempt.prompt_tokens = prompt_tokens;
  open_attempt.memory_tokens = memory_tokens;
  open_attempt.started_at = now;
  open_attempt.tokens_before = TotalLoad().queued_tokens;
  open_attempt.expected = forecast.first_token();
  open_attempts_[attempt] = open_attempt;
  without_first_token_.push_back(attempt);
  own_.queued_tokens += prompt_tokens;
  own_.memory_tokens += memory_tokens;
  ++own_.requests;
}

auto EngineLoad::RecordFirstToken(AttemptId attempt, Time now) -> void {
  const auto found = open_attempts_.find(attempt);
  if (found == open_attempts_.end() || found->second.has_first_token) return;
  auto& open_attempt = found->second;
  open_attempt.has_first_token = true;
  own_.queued_tokens =
      std::max(0.0, own_.queued_tokens - open_attempt.prompt_tokens);
  UpdateLatencyEstimates(open_attempt, now - open_attempt.started_at);
}

auto EngineLoad::UpdateLatencyEstimates(const OpenAttempt& open_attempt,
                                        Duration elapsed) -> void {
  const auto tokens = open_attempt.tokens_before + open_attempt.prompt_tokens;
  const auto elapsed_ms = ToMs(elapsed);
  if (tokens < kMinTokensForRate) {
    UpdateAverage(base_ms_, elapsed_ms, kSampleWeight);
    return;
  }
  const auto rate = tokens / std::max(1.0, elapsed_ms - base_ms_ / 2);
  UpdateAverage(prefill_rate_,
                std::clamp(rate, kMinPrefillRate, kMaxPrefillRate),
                kSampleWeight);
}

auto EngineLoad::End(AttemptId attempt, Time now) -> void {
  const auto found = open_attempts_.find(attempt);
  if (found == open_attempts_.end()) return;
  const auto& open_attempt = found->second;
  if (!open_attempt.has_first_token) {
    own_.queued_tokens =
        std::max(0.0, own_.queued_tokens - open_attempt.prompt_tokens);
  } else {
    UpdateAverage(hold_ms_, ToMs(now - open_attempt.started_at), kSampleWeight);
  }
  own_.memory_tokens =
      std::max(0.0, own_.memory_tokens - open_attempt.memory_tokens);
  --own_.requests;
  open_attempts_.erase(found);
}

auto EngineLoad::TotalLoad() const -> LoadShare {
  auto total = own_;
  total.queued_tokens += others_.queued_tokens;
  total.memory_tokens += others_.memory_tokens;
  total.requests += others_.requests;
  return total;
}

auto EngineLoad::Overdue(Time now) const -> Duration {
  while (!without_first_token_.empty()) {
    const auto found = open_attempts_.find(without_first_token_.front());
    if (found != open_attempts_.end() && !found->second.has_first_token) break;
    without_first_token_.pop_front();
  }
  if (without_first_token_.empty()) return Duration{};
  const auto& oldest = open_attempts_.at(without_first_token_.front());
  return std::max(Duration{}, now - oldest.started_at - oldest.expected);
}

auto EngineLoad::Forecast(double prompt_tokens, double memory_tokens,
                          Time now) const -> LoadForecast {
  const auto total = TotalLoad();
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
