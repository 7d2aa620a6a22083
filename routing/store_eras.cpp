// Follows the eras that the store and other routers name.
#include "routing/store_eras.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace papayaplank {
namespace {

// Longer than the two seconds after a return in which the operator and the
// targets write again.
constexpr Duration kSettleTime = milliseconds(2300);
// An era that falls is followed once no answer has named the later one for so
// long. Until then it is taken for a fault of a server of the store.
constexpr Duration kFallTime = seconds(10);

}  // namespace

auto StoreEras::Begin(StoreEra era, bool is_from_peer, Time now) -> EraNews {
  const auto is_first = !std::exchange(is_known_, true);
  const auto before = std::exchange(current_, era);
  older_since_.reset();
  if (is_first) return EraNews::kCurrent;
  ++changes_;
  changed_at_ = now;
  is_settled_ = false;
  // A change that nobody has asked for yet goes on from where it began.
  if (change_) {
    change_->now = era;
  } else {
    change_ = EraChange{before, era, is_from_peer, last_version_};
  }
  first_version_.reset();
  last_version_ = 0;
  return EraNews::kNew;
}

auto StoreEras::RecordAnswer(std::optional<StoreEra> stated, Time sent_at,
                             Time now) -> EraNews {
  if (!stated) return EraNews::kCurrent;
  if (is_known_ && *stated == current_) {
    older_since_.reset();
    return EraNews::kCurrent;
  }
  if (!is_known_ || *stated > current_) return Begin(*stated, false, now);
  // A call that was on its way as the era changed.
  if (changes_ > 0 && sent_at <= changed_at_) return EraNews::kStale;
  if (!older_since_) older_since_ = now;
  if (now - *older_since_ < kFallTime) return EraNews::kStale;
  abandoned_ = std::max(abandoned_, current_);
  return Begin(*stated, false, now);
}

auto StoreEras::RecordPeer(StoreEra era, Time now) -> EraNews {
  if (era == current_) return EraNews::kCurrent;
  if (era == StoreEra()) {
    // A release that knows no eras. Its versions are of the current one until
    // this router has seen a change.
    return changes_ == 0 ? EraNews::kCurrent : EraNews::kStale;
  }
  if (era < current_ || era <= abandoned_) return EraNews::kStale;
  return Begin(era, true, now);
}

auto StoreEras::RecordVersion(std::uint64_t version) -> void {
  is_known_ = true;
  first_version_ = std::min(first_version_.value_or(version), version);
  last_version_ = std::max(last_version_, version);
}

auto StoreEras::IsSettling(Time now) const -> bool {
  return SettlingTimeLeft(now) > Duration{};
}

auto StoreEras::WasSettling(Time at) const -> bool {
  return at >= changed_at_ && IsSettling(at);
}

auto StoreEras::SettlingTimeLeft(Time now) const -> Duration {
  if (changes_ == 0) return {};
  return std::max<Duration>(Duration{}, changed_at_ + kSettleTime - now);
}

auto StoreEras::IsOfCurrentEra(std::uint64_t row_version) const -> bool {
  return first_version_ && row_version > *first_version_;
}

auto StoreEras::DoubtfulVersion(Time now) const
    -> std::optional<std::uint64_t> {
  if (!IsSettling(now)) return std::nullopt;
  return first_version_.value_or(std::numeric_limits<std::uint64_t>::max());
}

auto StoreEras::TakeChange() -> std::optional<EraChange> {
  return std::exchange(change_, std::nullopt);
}

auto StoreEras::TakeSettled(Time now) -> bool {
  return !IsSettling(now) && !std::exchange(is_settled_, true);
}

}  // namespace papayaplank
