// Merges evidence by its time and by the process of the target.
#include "admission/cold_targets.h"

#include <algorithm>

#include "admission/permit_issuer.h"

namespace papayaplank {
namespace {

// Requests that leave a router at one time arrive at a target within this time
// of each other.
constexpr double kTransitSeconds = 0.1;
// Requests of the bound that are left for those whose permits another owner
// handed out.
constexpr double kReservedRequests = 1;
// Evidence is kept for this long after the target ceased to be cold, so that
// older copies of it that come back through other routers are no news.
constexpr Duration kKeptEvidence = seconds(10);
// Copies of one evidence differ by the time that messages take.
constexpr Duration kEvidenceTolerance = milliseconds(200);

}  // namespace

auto ColdCauseName(ColdCause cause) -> std::string_view {
  switch (cause) {
    case ColdCause::kStated:
      return "stated";
    case ColdCause::kUnreachable:
      return "unreachable";
    case ColdCause::kRestarted:
      return "restarted";
    case ColdCause::kReturned:
      return "data_center_returned";
  }
  return "";
}

auto ColdBound::PermitRate(double tolerated_per_second) const -> RequestRate {
  const auto lifetime = std::chrono::duration<double>(kPermitLifetime).count();
  const auto span = 1 + lifetime + kTransitSeconds;
  // A bucket holds one permit besides its burst.
  const auto usable = std::max(
      0.0, tolerated_per_second * overshoot + slack - kReservedRequests - 1);
  RequestRate rate;
  rate.per_second = std::min(tolerated_per_second, usable / span);
  if (rate.per_second <= 0) return RequestRate{0, 0};
  const auto burst = (usable - rate.per_second * span) / rate.per_second;
  rate.burst_seconds = std::clamp(burst, 0.0, RequestRate{}.burst_seconds);
  return rate;
}

auto ColdTargets::Apply(Entry& entry, const TargetId& target,
                        const ColdState& state, bool is_from_peer, Time now)
    -> void {
  entry.state = state;
  const auto is_cold = state.cold_until > now;
  if (is_cold == entry.is_noted_cold) return;
  entry.is_noted_cold = is_cold;
  changes_.push_back({target, is_cold, state.cause, now - state.evidence_at,
                      std::max(Duration{}, state.cold_until - now),
                      is_from_peer});
}

auto ColdTargets::RecordRow(const TargetId& target, ProcessStart process,
                            std::int64_t reports, Duration cold_left, Time now)
    -> bool {
  const auto is_cold = cold_left > Duration{};
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    if (!is_cold) return false;
    auto& entry = entries_[target];
    entry.reports = reports;
    entry.stated_left = cold_left;
    Apply(entry, target, {process, ColdCause::kStated, now, now + cold_left},
          false, now);
    return true;
  }
  auto& entry = found->second;
  const auto& known = entry.state;
  if (process < known.process) return false;
  const auto is_newer_process = process > known.process;
  if (!is_newer_process && reports < entry.reports) return false;
  // A process whose row hasn't changed says nothing new.
  const auto is_same_row = !is_newer_process && entry.reports == reports &&
                           entry.stated_left == cold_left;
  if (is_same_row) return false;
  // The row of a process that goes on may be older than the cause of a
  // presumption.
  const auto is_presumed = known.cause == ColdCause::kUnreachable ||
                           known.cause == ColdCause::kReturned;
  if (!is_cold && !is_newer_process && is_presumed) return false;
  if (!is_cold && known.cold_until <= now && !is_newer_process) return false;
  entry.reports = reports;
  entry.stated_left = cold_left;
  // Neither does it shorten one.
  if (!is_newer_process && is_presumed && now + cold_left <= known.cold_until) {
    return false;
  }
  Apply(entry, target, {process, ColdCause::kStated, now, now + cold_left},
        false, now);
  return true;
}

auto ColdTargets::Presume(const TargetId& target, ProcessStart process,
                          ColdCause cause, Duration time, Time now) -> bool {
  auto& entry = entries_[target];
  const auto until = now + time;
  // A cause that lasts is told of once in a while.
  if (entry.state.process >= process &&
      entry.state.cold_until + kEvidenceTolerance * 2 >= until) {
    return false;
  }
  if (entry.state.cold_until <= now) ++presumed_;
  const auto newest = std::max(process, entry.state.process);
  Apply(entry, target, {newest, cause, now, until}, false, now);
  return true;
}

auto ColdTargets::Merge(const TargetId& target, const ColdState& state,
                        Time now) -> bool {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    if (state.cold_until <= now) return false;
    Apply(entries_[target], target, state, true, now);
    return true;
  }
  auto& entry = found->second;
  const auto& known = entry.state;
  // A row of an earlier process is outdated. Other evidence may come from a
  // router that has not read of the newest process yet.
  if (state.process < known.process && state.cause == ColdCause::kStated) {
    return false;
  }
  const auto is_newer =
      state.process > known.process ||
      state.evidence_at > known.evidence_at + kEvidenceTolerance;
  const auto is_longer =
      state.evidence_at + kEvidenceTolerance > known.evidence_at &&
      state.cold_until > known.cold_until + kEvidenceTolerance;
  if (!is_newer && !is_longer) return false;
  // No other router's row shortens a presumption for the same process either.
  if (state.process == known.process && known.cause != ColdCause::kStated &&
      state.cold_until <= known.cold_until) {
    return false;
  }
  auto merged = state;
  merged.process = std::max(state.process, known.process);
  Apply(entry, target, merged, true, now);
  return true;
}

auto ColdTargets::Tick(Time now) -> void {
  for (auto& [target, entry] : entries_) {
    if (entry.is_noted_cold && entry.state.cold_until <= now) {
      Apply(entry, target, entry.state, false, now);
    }
  }
  std::erase_if(entries_, [now](const auto& item) {
    const auto& state = item.second.state;
    return now - std::max(state.cold_until, state.evidence_at) > kKeptEvidence;
  });
}

auto ColdTargets::IsCold(const TargetId& target, Time now) const -> bool {
  const auto* state = Find(target);
  return state != nullptr && state->cold_until > now;
}

auto ColdTargets::Find(const TargetId& target) const -> const ColdState* {
  const auto found = entries_.find(target);
  return found == entries_.end() ? nullptr : &found->second.state;
}

auto ColdTargets::Cold(Time now) const -> std::vector<TargetId> {
  std::vector<TargetId> cold;
  for (const auto& [target, entry] : entries_) {
    if (entry.state.cold_until > now) cold.push_back(target);
  }
  return cold;
}

}  // namespace papayaplank
