// Expected times and the limits of admission.
#include "gateway/placement_policy.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Share of the objective that the forecast of a request may take; the rest
// covers the error of the forecast.
constexpr double kForecastShare = 0.8;
// A prompt that is long by itself may wait for at least this share of the
// objective: long requests are late but not starved.
constexpr double kMinWaitShare = 0.25;
// The same two for a customer that has had its even share: it is served while
// there is plenty of room, and yields first.
constexpr double kOverShareForecast = 0.45;
constexpr double kOverShareBatch = 0.8;
// Cost of reading a prompt twice: it takes time from all requests there.
constexpr double kPrefillPenalty = 1.5;
// What a failure costs, in objectives.
constexpr double kFailurePenalty = 3;
// A target in another data centre is used if it is faster by this much.
constexpr Duration kFarPenalty = milliseconds(4);
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kMaxRetryAfter = seconds(4);

auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

auto ExpectedTime(const TargetOption& option, const AdmissionTerms& terms)
    -> Duration {
  auto time = option.forecast.queue_wait +
              Scale(option.forecast.own_prefill, kPrefillPenalty) +
              Scale(terms.objective, option.failure_rate * kFailurePenalty);
  // A batch that is nearly full decodes slowly.
  time += Scale(terms.objective, 0.1 * option.forecast.batch_share);
  if (!option.is_near) time += kFarPenalty;
  if (!option.forecast.has_memory) time += terms.objective;
  if (option.is_resting) time += Scale(terms.objective, 20);
  return time;
}

auto LongestWait(const TargetOption& option, const AdmissionTerms& terms)
    -> Duration {
  const auto is_over = terms.share_used >= 1;
  const auto share = is_over ? kOverShareForecast : kForecastShare;
  const auto wait =
      Scale(terms.objective, share) - option.forecast.own_prefill;
  const auto floor = Scale(terms.objective, kMinWaitShare * share);
  return std::max(wait, floor);
}

}  // namespace

auto ChooseOption(const std::vector<TargetOption>& options,
                  const AdmissionTerms& terms) -> const TargetOption* {
  const TargetOption* best = nullptr;
  Duration best_time{};
  for (const auto& option : options) {
    const auto time = ExpectedTime(option, terms);
    if (best != nullptr && time >= best_time) continue;
    best = &option;
    best_time = time;
  }
  return best;
}

auto CheckAdmission(const TargetOption& option, const AdmissionTerms& terms)
    -> std::variant<Done, Refusal> {
  const auto& forecast = option.forecast;
  const auto is_over = terms.share_used >= 1;
  const auto reason =
      is_over ? RefusalReason::kOverShare : RefusalReason::kNoRoom;
  const auto limit = LongestWait(option, terms);
  const auto excess = forecast.queue_wait - limit;
  const auto is_batch_full =
      terms.is_engine &&
      forecast.batch_share >= (is_over ? kOverShareBatch : 1.0);
  const auto is_late = excess > Duration{} ||
                       forecast.first_token() >= terms.time_left;
  if (!is_late && !is_batch_full && forecast.has_memory) return Done{};
  const auto comeback =
      std::clamp(std::max(excess, limit), kMinRetryAfter, kMaxRetryAfter);
  return Refusal{reason, comeback};
}

}  // namespace papayaplank
