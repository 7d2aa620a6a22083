// Finds the rate in rounds: the answers of each decide whether it rises, falls
// or stays.
#include "admission/target_pace.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// A round is long enough for this many answers at the rate in force, so that a
// few of them decide nothing, within these bounds.
constexpr double kAnswersPerRound = 4;
constexpr double kShortestRound = 0.5;
constexpr double kLongestRound = 1;
// Part of the rate that must have been answered before it rises. Answers of the
// time before a doubling are half of it.
constexpr double kProvenShare = 0.7;
constexpr double kFastGrowth = 2;
constexpr double kSlowGrowth = 1.125;
// The rate grows slowly until the target has delivered clearly more than when
// it was last lowered.
constexpr double kCarefulFactor = 1.5;
// A lowered rate is this part of what the target delivers, so that its queue
// empties.
constexpr double kDrainShare = 0.75;
// A round whose answers were few by chance does not lower the rate by more.
constexpr double kLeastCut = 0.5;
// Parts of a round's answers above which the rate falls. Requests can fail by
// themselves, and forecasts are inexact.
constexpr double kToleratedErrors = 0.1;
constexpr double kToleratedLate = 0.25;
// Time in which a queue empties at a lowered rate, so that late answers no
// longer tell of a rate that is too high.
constexpr Duration kDrainTime = seconds(3);
// Growth of the rate in a trial whether late answers have another cause than
// the rate. Answers of the time before it still prove the rate.
constexpr double kTrialGrowth = 1.3;
// An overloaded target can't deliver this much more than it did when it was
// first late. One that does is late at any rate.
constexpr double kGrownFactor = 1.3;

auto Seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto Total(const PaceSample& answers) -> double {
  return static_cast<double>(answers.good) + answers.late + answers.refused +
         answers.failed;
}

// Whether so many of the answers are more than chance.
auto IsMany(double count, double total, double tolerated) -> bool {
  if (count == 0) return false;
  return count > total * tolerated && (count >= 2 || count == total);
}

}  // namespace

auto PaceCauseName(PaceCause cause) -> std::string_view {
  switch (cause) {
    case PaceCause::kBegan:
      return "began";
    case PaceCause::kErrors:
      return "errors";
    case PaceCause::kLate:
      return "late";
    case PaceCause::kUnbound:
      return "unbound";
    case PaceCause::kSilent:
      return "silent";
    case PaceCause::kExpired:
      return "expired";
  }
  return "";
}

auto TargetPace::Begin(const TargetId& target, Time now) -> void {
  const auto found = entries_.find(target);
  const auto is_known = found != entries_.end();
  if (!is_known && entries_.size() >= kMostTargets) return;
  if (is_known && now - found->second.began_at < kCopyTime) return;
  const auto before = is_known ? found->second.rate : 0;
  auto& entry = entries_[target];
  entry = {};
  entry.began_at = now;
  entry.heard_at = now;
  entry.error_at = now;
  entry.round_at = now + kStaleTime;
  ++begun_;
  changes_.push_back({target, PaceCause::kBegan, before, entry.rate, {}, {}});
}

auto TargetPace::RecordAnswers(const TargetId& target, const PaceSample& sample,
                               Time now) -> void {
  const auto found = entries_.find(target);
  if (found == entries_.end() || Total(sample) == 0) return;
  auto& entry = found->second;
  if (now < entry.round_at) return;
  // The span of silence is no measure of what the target delivers.
  if (now - entry.heard_at > kSilenceStep && Total(entry.answers) == 0) {
    entry.round_at = now;
  }
  entry.heard_at = now;
  entry.answers.good += sample.good;
  entry.answers.late += sample.late;
  entry.answers.refused += sample.refused;
  entry.answers.failed += sample.failed;
  EndRound(target, entry, now);
}

auto TargetPace::EndRound(const TargetId& target, Entry& entry, Time now)
    -> void {
  const auto span = Seconds(now - entry.round_at);
  const auto length =
      std::clamp(kAnswersPerRound / entry.rate, kShortestRound, kLongestRound);
  const auto& answers = entry.answers;
  const auto total = Total(answers);
  if (span < length || total == 0) return;
  const auto delivered =
      (static_cast<double>(answers.good) + answers.late) / span;
  const auto errors = static_cast<double>(answers.refused) + answers.failed;
  const auto is_late =
      !entry.is_lateness_usual && IsMany(answers.late, total, kToleratedLate);
  if (IsMany(errors, total, kToleratedErrors)) {
    if (errors * 2 > total) entry.error_at = now;
    Lower(target, entry, PaceCause::kErrors, std::min(delivered, entry.rate),
          now);
  } else if (is_late) {
    HandleLateness(target, entry, delivered, now);
  } else {
    entry.late_cuts = 0;
    entry.most_late_cuts = kMostLateCuts;
    entry.late_base = 0;
    Raise(entry, delivered, now);
  }
  entry.answers = {};
  entry.round_at = now;
}

auto TargetPace::HandleLateness(const TargetId& target, Entry& entry,
                                double delivered, Time now) -> void {
  const auto is_proven = delivered >= entry.rate * kProvenShare;
  const auto is_draining =
      entry.late_cuts > 0 && now - entry.late_at < kDrainTime;
  if (is_draining) {
    // More requests than the target delivers would make its queue grow.
    if (!is_proven) Lower(target, entry, PaceCause::kLate, delivered, now);
    return;
  }
  if (entry.late_cuts >= entry.most_late_cuts) {
    entry.is_lateness_usual = delivered >= entry.late_base * kGrownFactor;
    if (entry.is_lateness_usual || is_proven) {
      Raise(entry, delivered, now);
      return;
    }
    entry.late_cuts = 0;
    entry.most_late_cuts *= 2;
  }
  ++entry.late_cuts;
  entry.late_at = now;
  entry.late_base = std::max(entry.late_base, delivered);
  Lower(target, entry, PaceCause::kLate, std::min(delivered, entry.rate), now);
}

auto TargetPace::Raise(Entry& entry, double delivered, Time now) -> void {
  if (delivered < entry.rate * kProvenShare) {
    if (!entry.unbound_since) entry.unbound_since = now;
    return;
  }
  entry.unbound_since.reset();
  const auto is_careful = entry.rate < entry.careful_until;
  const auto is_trial = entry.late_cuts > 0 && !entry.is_lateness_usual;
  entry.rate *= is_trial     ? kTrialGrowth
                : is_careful ? kSlowGrowth
                             : kFastGrowth;
}

auto TargetPace::Lower(const TargetId& target, Entry& entry, PaceCause cause,
                       double delivered, Time now) -> void {
  entry.unbound_since.reset();
  const auto before = entry.rate;
  const auto wanted = std::max(delivered * kDrainShare, before * kLeastCut);
  entry.rate = std::clamp(wanted, kLeastRate, before);
  entry.careful_until = std::max(delivered, entry.late_base) * kCarefulFactor;
  if (entry.rate == before) return;
  changes_.push_back(
      {target, cause, before, entry.rate, entry.answers, now - entry.round_at});
}

auto TargetPace::RateNow(const Entry& entry, Time now) const -> double {
  const auto steps =
      std::max<Duration::rep>(0, (now - entry.heard_at) / kSilenceStep);
  return std::max(kLeastRate,
                  entry.rate * std::exp2(-static_cast<double>(steps)));
}

auto TargetPace::Find(const TargetId& target, Time now) const
    -> std::optional<RequestRate> {
  const auto found = entries_.find(target);
  if (found == entries_.end() || FindEnd(found->second, now)) return {};
  RequestRate rate;
  rate.per_second = RateNow(found->second, now);
  return rate;
}

auto TargetPace::FindEnd(const Entry& entry, Time now) const
    -> std::optional<PaceCause> {
  if (now - entry.heard_at >= kLongestSilence) return PaceCause::kSilent;
  if (now - entry.error_at >= kLongestPace) return PaceCause::kExpired;
  // A target that has just gone silent may have stopped.
  const auto is_unbound = entry.unbound_since &&
                          now - *entry.unbound_since >= kUnboundTime &&
                          now - entry.heard_at < kSilenceStep;
  if (is_unbound) return PaceCause::kUnbound;
  return {};
}

auto TargetPace::Tick(Time now) -> void {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    auto& [target, pace] = *entry;
    EndRound(target, pace, now);
    const auto end = FindEnd(pace, now);
    if (!end) {
      ++entry;
      continue;
    }
    changes_.push_back(
        {target, *end, pace.rate, 0, pace.answers, now - pace.round_at});
    entry = entries_.erase(entry);
  }
}

}  // namespace papayaplank
