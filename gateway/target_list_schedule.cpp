// Periods of the reads, by the number of routers that share them.
#include "gateway/target_list_schedule.h"

#include <algorithm>

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
// A delay between two reads differs from the average by at most this share.
constexpr double kSpread = 0.5;
// Routers that miss the same readers read at random times within this one, so
// that the store gets few calls at a time.
constexpr Duration kAdvanceTime = milliseconds(800);

}  // namespace

auto TargetListSchedule::MeanPeriod(const ListReaders& readers) -> Duration {
  if (!readers.is_informed) return kUninformedPeriod;
  const auto longest =
      readers.is_store_recovering ? kLongestRecoveryPeriod : kLongestPeriod;
  const auto routers = static_cast<int>(readers.others) + 1;
  return std::clamp(kFleetPeriod * routers, kShortestPeriod, longest);
}

auto TargetListSchedule::Delay(const ListReaders& readers) const -> Duration {
  return Scale(MeanPeriod(readers), 1 - kSpread + 2 * kSpread * position_);
}

auto TargetListSchedule::PlanRead(const ListReaders& readers, Random& random,
                                  Time now) -> Duration {
  position_ = random.Uniform();
  planned_at_ = now;
  const auto delay = Delay(readers);
  due_ = now + delay;
  return delay;
}

auto TargetListSchedule::Advance(const ListReaders& readers, Time now)
    -> std::optional<Duration> {
  if (now >= due_) return std::nullopt;
  const auto spread = std::min(kAdvanceTime, MeanPeriod(readers) / 2);
  const auto due =
      std::max(planned_at_ + Delay(readers), now + Scale(spread, position_));
  if (due >= due_) return std::nullopt;
  due_ = due;
  return due - now;
}

}  // namespace papayaplank
