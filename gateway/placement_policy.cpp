// Compares the expected times at targets and applies the admission limits.
#include "gateway/placement_policy.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Share of the objective that the forecast of a request may take; the rest
// covers the error of the forecast.
constexpr double kForecastShare = 0.8;
// A request with a long prompt may wait for at least this share of what a
// short one may, so that long requests are late but not starved.
constexpr double kMinWaitShare = 0.25;
// While the used part of its fair share rises from the first of these values to
// the second, the limits of a customer fall from the usual ones to
// `kMinAllowedShare` of them.
constexpr double kReductionStart = 0.8;
constexpr double kReductionEnd = 1.4;
constexpr double kMinAllowedShare = 0.3;
// A batch that is filled to less than this share of its slots has room for
// every customer, however low its allowed share is.
constexpr double kMinBatchShare = 0.75;
// Cost of reading a shared part again, as a multiple of its read time: it
// delays all requests at the target and evicts other parts from its memory.
constexpr double kRereadPenalty = 12;
// The same at a target that is not preferred for the part.
constexpr double kNotPreferredRereadPenalty = 48;
// Cost of a failure, as a multiple of the objective.
constexpr double kFailurePenalty = 3;
// Cost of a full batch, as a multiple of the objective: the fuller a batch is,
// the slower it decodes.
constexpr double kBatchPenalty = 0.1;
// Cost of a target that is cooling down, as a multiple of the objective.
constexpr double kCooldownPenalty = 20;
// A target in another data centre is chosen only if it is faster by this much.
constexpr Duration kFarPenalty = milliseconds(4);
// Time to ask for a permit.
constexpr Duration kPermitPenalty = milliseconds(4);
constexpr Duration kMinRetryAfter = milliseconds(50);
constexpr Duration kMaxRetryAfter = seconds(4);

// Expected time to the first token, with the penalties above.
auto ExpectedTime(const TargetOption& option, const AdmissionTerms& terms)
    -> Duration {
  // Only an answer can tell that the limit has ended.
  if (option.is_limit_stale && !option.is_cooling_down &&
      std::holds_alternative<AdmissionFacts>(CheckAdmission(option, terms))) {
    return Duration{};
  }
  const auto& to_read = option.to_read;
  const auto shared_share =
      to_read.total() > 0 ? to_read.shared / to_read.total() : 0;
  const auto reread_penalty = option.preference_rank < kNotPreferred
                                  ? kRereadPenalty
                                  : kNotPreferredRereadPenalty;
  auto time =
      option.forecast.first_token() +
      Scale(option.forecast.own_prefill, shared_share * reread_penalty) +
      Scale(terms.objective, option.failure_rate * kFailurePenalty);
  time += Scale(terms.objective, kBatchPenalty * option.forecast.batch_share);
  if (!option.is_near) time += kFarPenalty;
  if (option.permission == Permission::kMayAsk) time += kPermitPenalty;
  if (!option.forecast.has_memory) time += terms.objective;
  if (option.is_cooling_down) time += Scale(terms.objective, kCooldownPenalty);
  return time;
}

// Share of the usual limits that the customer may use: `kMinAllowedShare` to 1.
auto AllowedShare(const AdmissionTerms& terms) -> double {
  const auto excess =
      (terms.share_used - kReductionStart) / (kReductionEnd - kReductionStart);
  return 1 - (1 - kMinAllowedShare) * std::clamp(excess, 0.0, 1.0);
}

// Longest wait in the queue with which the request is still admitted.
auto LongestWait(const TargetOption& option, const AdmissionTerms& terms)
    -> Duration {
  const auto share = kForecastShare * AllowedShare(terms);
  const auto wait = Scale(terms.objective, share) - option.forecast.own_prefill;
  const auto floor = Scale(terms.objective, kMinWaitShare * share);
  return std::max(wait, floor);
}

}  // namespace

auto ChooseOption(const std::vector<TargetOption>& options,
                  const AdmissionTerms& terms) -> const TargetOption* {
  const TargetOption* best = nullptr;
  Duration best_time{};
  for (const auto& option : options) {
    if (option.permission == Permission::kNone) continue;
    const auto time = ExpectedTime(option, terms);
    if (best != nullptr && time >= best_time) continue;
    best = &option;
    best_time = time;
  }
  return best;
}

auto CheckAdmission(const TargetOption& option, const AdmissionTerms& terms)
    -> std::variant<AdmissionFacts, Refusal> {
  const auto& forecast = option.forecast;
  const auto is_over_share = terms.share_used >= 1;
  const auto reason =
      is_over_share ? RefusalReason::kOverShare : RefusalReason::kNoRoom;
  const auto limit = LongestWait(option, terms);
  const auto excess = forecast.queue_wait - limit;
  const auto is_batch_full =
      terms.is_engine &&
      forecast.batch_share >= std::max(kMinBatchShare, AllowedShare(terms));
  const auto is_late =
      excess > Duration{} || forecast.first_token() >= terms.time_left;
  const AdmissionFacts facts{option.target->id, forecast, limit,
                             terms.share_used};
  if (!is_late && !is_batch_full && forecast.has_memory) return facts;
  const auto retry_after =
      std::clamp(std::max(excess, limit), kMinRetryAfter, kMaxRetryAfter);
  return Refusal{reason, retry_after, facts};
}

}  // namespace papayaplank
