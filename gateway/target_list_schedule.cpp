// Periods of the reads, by the number of routers that share them.
#include "gateway/target_list_schedule.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

// Average time between two target list reads in the whole fleet. The router
// that reads a list reports the changes to the others.
constexpr Duration kFleetPeriod = milliseconds(200);
// Limits of one router's average period. The longest one is shorter while the
// rows return after a store outage.
constexpr Duration kShortestPeriod = milliseconds(700);
constexpr Duration kLongestPeriod = seconds(30);
constexpr Duration kLongestRecoveryPeriod = milliseconds(1500);
// A router that nobody tells of changes reads all of them itself, within the
// 2 s in which a target that leaves must be known.
constexpr Duration kUninformedPeriod = milliseconds(800);
// Longest time between two turns, in average periods.
constexpr double kLongestTurn = 1.5;
// Routers that lose the same readers, or wait for the same rows, read at random
// times within this one, so that the store gets few calls at a time.
constexpr Duration kReadTime = milliseconds(800);

}  // namespace

auto ListReadReasonName(ListReadReason reason) -> std::string_view {
  switch (reason) {
    case ListReadReason::kTurn:
      return "turn";
    case ListReadReason::kReadersLost:
      return "readers_lost";
    case ListReadReason::kMissingTargets:
      return "missing_targets";
    case ListReadReason::kMissedNews:
      return "missed_news";
    case ListReadReason::kNewEra:
      return "new_era";
  }
  return "unknown";
}

auto TargetListSchedule::MeanPeriod(const ListReaders& readers) -> Duration {
  if (!readers.is_informed) return kUninformedPeriod;
  const auto longest =
      readers.is_store_recovering ? kLongestRecoveryPeriod : kLongestPeriod;
  const auto routers = static_cast<int>(readers.others) + 1;
  return std::clamp(kFleetPeriod * routers, kShortestPeriod, longest);
}

auto TargetListSchedule::Tick(const ListReaders& readers, Random& random,
                              Time now) -> std::optional<ListReadDemand> {
  const auto period = MeanPeriod(readers);
  if (turns_.Advance(period, random, now)) {
    read_at_ = now;
    return ListReadDemand{ListReadReason::kTurn, Duration{}};
  }
  if (read_at_ == Time{}) read_at_ = now;
  if (readers.has_missing_targets && !readers.is_store_recovering &&
      !std::exchange(checks_missing_targets_, true)) {
    return ListReadDemand{ListReadReason::kMissingTargets,
                          Scale(kReadTime, random.Uniform())};
  }
  if (now - read_at_ <= Scale(period, kLongestTurn)) return std::nullopt;
  const auto delay = Scale(std::min(kReadTime, period / 2), random.Uniform());
  read_at_ = now + delay;
  return ListReadDemand{ListReadReason::kReadersLost, delay};
}

}  // namespace papayaplank
