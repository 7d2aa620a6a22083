// Owners and permits of limited targets, and records of what targets say.
#include "gateway/target_guard.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A change is sent this often, at this interval, as datagrams may get lost.
constexpr int kChangeRepeats = 3;
constexpr Duration kRepeatPeriod = milliseconds(200);
// How often known limits are sent again for routers that missed them or are
// new: by their owners in a mesh, by hubs in a larger fleet.
constexpr Duration kMeshRefreshPeriod = seconds(1);
constexpr Duration kHubRefreshPeriod = seconds(2);
// Records of one refresh, which is one message.
constexpr std::size_t kMaxRecords = 128;
// Use of permits is averaged over this time.
constexpr Duration kUseWindow = seconds(4);
// Two reports of one pause differ by less than this.
constexpr Duration kPauseTolerance = milliseconds(250);
// A refused request is never sent away for longer than this.
constexpr Duration kLongestPromise = seconds(4);
// Share of the known routers that count as all of them: a few may have ended.
constexpr double kWholeFleetShare = 0.9;

}  // namespace

auto TargetGuard::RecordLimit(const TargetRow& target,
                              const TargetStatement& statement, Time now)
    -> void {
  if (statement.is_limit_malformed) return limits_.RecordMalformed();
  const auto& limit = statement.limit;
  if (!limit && statement.is_unconfirmed) return;
  const auto before = limits_.Find(target.id);
  if (!before && !limit) return;
  limits_.RecordAnswer(target.id, ProcessStart(target.started_unix_ms), limit,
                       now);
  spread_[target.id].is_own_news = true;
  if (before != limit) OnChange(target.id, true, now);
}

auto TargetGuard::OnChange(const TargetId& target, bool passes_on, Time now)
    -> void {
  auto& spread = spread_[target];
  if (passes_on) spread.repeats_left = kChangeRepeats;
  // Permits were handed out at the former rate.
  wallet_.Drop(target);
  UpdateOwnership(target, now);
}

auto TargetGuard::UpdateOwnership(const TargetId& target, Time now) -> void {
  if (FindRate(target, now) && IsOwn(target)) {
    issuer_.Own(target, now);
  } else {
    issuer_.Disown(target);
  }
}

auto TargetGuard::FindRate(const TargetId& target, Time now) const
    -> std::optional<RequestRate> {
  const auto limit = limits_.Find(target);
  if (!cold_.IsCold(target, now)) return limit;
  const auto cold = cold_rate_(target);
  if (!cold) return limit;
  auto rate = *cold;
  rate.per_second *= cold_share_;
  if (!limit) return rate;
  return RequestRate{std::min(limit->per_second, rate.per_second),
                     std::min(limit->burst_seconds, rate.burst_seconds)};
}

auto TargetGuard::RecordRow(const TargetRow& row, bool passes_on, Time now)
    -> void {
  if (!cold_rate_(row.id)) return;
  const ProcessStart process(row.started_unix_ms);
  const auto before = FindRate(row.id, now);
  if (cold_.RecordRow(row.id, process, row.reports, row.cold_left, now)) {
    OnColdNews(row.id, before, passes_on, now);
  }
}

auto TargetGuard::PresumeCold(const TargetRow& target, ColdCause cause,
                              Duration time, Time now) -> void {
  if (!cold_rate_(target.id)) return;
  const ProcessStart process(target.started_unix_ms);
  const auto before = FindRate(target.id, now);
  if (cold_.Presume(target.id, process, cause, time, now)) {
    OnColdNews(target.id, before, true, now);
  }
}

auto TargetGuard::MergeCold(const TargetId& target, const ColdRecord& record,
                            bool passes_on, Time now) -> void {
  if (!cold_rate_(target)) return;
  const ColdState state{record.process, record.cause, now - record.age,
                        now + record.left};
  const auto before = FindRate(target, now);
  if (cold_.Merge(target, state, now)) {
    OnColdNews(target, before, passes_on, now);
  }
}

auto TargetGuard::OnColdNews(const TargetId& target,
                             const std::optional<RequestRate>& before,
                             bool passes_on, Time now) -> void {
  auto& spread = cold_spread_[target];
  if (passes_on) spread.repeats_left = kChangeRepeats;
  const auto rate = FindRate(target, now);
  if (rate && (!before || rate->per_second < before->per_second)) {
    // Permits were handed out at the former rate.
    wallet_.Drop(target);
    issuer_.Disown(target);
  }
  UpdateOwnership(target, now);
}

auto TargetGuard::FindColdRecord(const TargetId& target, Time now) const
    -> std::optional<ColdRecord> {
  if (!cold_.IsCold(target, now)) return std::nullopt;
  return ToColdRecord(target, now);
}

auto TargetGuard::ToColdRecord(const TargetId& target, Time now) const
    -> ColdRecord {
  ColdRecord record;
  record.target = TargetHash(target);
  const auto* state = cold_.Find(target);
  if (state == nullptr) return record;
  record.process = state->process;
  record.cause = state->cause;
  record.age = std::max(Duration{}, now - state->evidence_at);
  record.left = std::max(Duration{}, state->cold_until - now);
  return record;
}

auto TargetGuard::Merge(const TargetId& target, const TargetLimitRecord& record,
                        bool passes_on, Time now) -> void {
  if (record.id == 0) return;
  const LimitNews news{record.id, record.process, record.limit,
                       now - record.age};
  if (limits_.Merge(target, news, now)) OnChange(target, passes_on, now);
}

auto TargetGuard::RecordDeparture(const TargetId& target, ProcessStart process,
                                  bool is_own, bool passes_on) -> bool {
  const auto [entry, is_new] = leaving_.try_emplace(target);
  auto& leaving = entry->second;
  if (!is_new && process <= leaving.process) {
    leaving.is_own |= is_own && process == leaving.process;
    return false;
  }
  leaving = Leaving{process, passes_on ? kChangeRepeats : 0, is_own};
  return true;
}

auto TargetGuard::NotePause(const TargetId& target, const Pause& pause,
                            Time now) -> bool {
  auto& known = known_pauses_[target];
  const auto is_news =
      pause.until > now && (pause.process > known.process ||
                            pause.until > known.until + kPauseTolerance);
  if (is_news) known = pause;
  return is_news;
}

auto TargetGuard::RecordTargetPause(const TargetRow& target, Duration pause,
                                    Time now) -> void {
  pauses_.RecordPause(target.id, pause, now);
  const auto until =
      now + std::min<Duration>(pause, TargetPauses::kLongestPause);
  NotePause(target.id,
            {ProcessStart(target.started_unix_ms), until, kChangeRepeats}, now);
}

auto TargetGuard::RecordHeardPause(const TargetId& target,
                                   const PauseRecord& record, bool passes_on,
                                   Time now) -> bool {
  const auto left =
      std::min<Duration>(record.left, TargetPauses::kLongestPause);
  return NotePause(target,
                   {record.process, now + left, passes_on ? kChangeRepeats : 0},
                   now);
}

auto TargetGuard::IsPausing(const TargetId& target, Time now) const -> bool {
  const auto known = known_pauses_.find(target);
  return pauses_.IsPausing(target, now) ||
         (known != known_pauses_.end() && known->second.until > now);
}

auto TargetGuard::RemoveTarget(const TargetId& target) -> void {
  pauses_.RemoveTarget(target);
  known_pauses_.erase(target);
  leaving_.erase(target);
  limits_.RemoveTarget(target);
  cold_.RemoveTarget(target);
  cold_spread_.erase(target);
  issuer_.Disown(target);
  wallet_.Drop(target);
  spread_.erase(target);
  owner_of_.erase(target);
}

auto TargetGuard::Owner(const TargetId& target) const -> const std::string& {
  const auto [entry, is_new] = owner_of_.try_emplace(target);
  if (!is_new) return entry->second;
  const auto seed = StableHash(target.value());
  std::uint64_t best_score = 0;
  for (const auto& address : owners_) {
    const auto score = StableHash(address, seed);
    if (!entry->second.empty() && score <= best_score) continue;
    entry->second = address;
    best_score = score;
  }
  return entry->second;
}

auto TargetGuard::Check(const TargetId& target, PermitClass permit_class,
                        Time now) -> Permission {
  const auto limit = FindRate(target, now);
  if (!limit) return Permission::kNotNeeded;
  if (issuer_.Owns(target)) {
    return issuer_.HasPermit(target, *limit, permit_class, now)
               ? Permission::kInHand
               : Permission::kNone;
  }
  if (wallet_.HasPermit(target, now)) return Permission::kInHand;
  const auto may_ask = !Owner(target).empty() &&
                       wallet_.AskTime(target, permit_class, now) <= now;
  return may_ask ? Permission::kMayAsk : Permission::kNone;
}

auto TargetGuard::TimeToSend(const TargetId& target, PermitClass permit_class,
                             Time now) -> Duration {
  const auto pause = pauses_.TimeToSend(target, now);
  const auto limit = FindRate(target, now);
  if (!limit) return pause;
  if (issuer_.Owns(target)) {
    return std::max(pause,
                    issuer_.TimeToNext(target, *limit, permit_class, now));
  }
  return std::max(pause, wallet_.AskTime(target, permit_class, now) - now);
}

auto TargetGuard::RecordSend(const TargetId& target, Time now) -> void {
  pauses_.RecordSend(target);
  const auto limit = FindRate(target, now);
  if (!limit) return;
  limits_.RecordSend(target, now);
  if (issuer_.Owns(target)) {
    issuer_.Issue(target, *limit, PermitClass::kWithinShare, now);
  } else if (wallet_.HasPermit(target, now)) {
    wallet_.Take(target);
  }
  used_.push_back(now);
}

auto TargetGuard::Ask(const TargetId& target, PermitClass permit_class,
                      Time now) -> PermitNonce {
  const auto nonce = wallet_.Ask(target, permit_class, now);
  ++counters_.requested;
  requests_.emplace_back(
      Owner(target),
      PermitRequest{self_address_, nonce, permit_class, ToRecord(target, now),
                    FindColdRecord(target, now)});
  return nonce;
}

auto TargetGuard::RecordSilence(PermitNonce nonce, Time now) -> void {
  ++counters_.unanswered;
  wallet_.RecordSilence(nonce, now);
}

auto TargetGuard::HandleRequest(const TargetId& target,
                                const PermitRequest& request, Time now)
    -> PermitGrant {
  Merge(target, request.record, false, now);
  if (request.cold) MergeCold(target, *request.cold, false, now);
  PermitGrant grant;
  grant.nonce = request.nonce;
  grant.record = ToRecord(target, now);
  const auto limit = FindRate(target, now);
  // If the limit has ended, the record tells so.
  grant.is_granted =
      !limit || (issuer_.Owns(target) &&
                 issuer_.Issue(target, *limit, request.permit_class, now));
  if (grant.is_granted) return grant;
  // A sender may take this router for the owner while owners change.
  grant.wait =
      issuer_.Owns(target)
          ? issuer_.TimeToNext(target, *limit, request.permit_class, now)
          : kRepeatPeriod;
  return grant;
}

auto TargetGuard::HandleGrant(const PermitGrant& grant, Time now) -> void {
  if (grant.is_granted) {
    ++counters_.granted;
    wallet_.RecordGrant(grant.nonce, now);
  } else {
    ++counters_.refused;
    wallet_.RecordRefusal(grant.nonce, grant.wait, now);
  }
}

auto TargetGuard::PromiseReturn(Duration least, Time now) -> Duration {
  while (!used_.empty() && now - used_.front() > kUseWindow) used_.pop_front();
  const auto gap =
      Scale(kUseWindow,
            1.0 / static_cast<double>(std::max<std::size_t>(1, used_.size())));
  promised_until_ = std::max(now + least, promised_until_ + gap);
  promised_until_ = std::min(promised_until_, now + kLongestPromise);
  return promised_until_ - now;
}

auto TargetGuard::ClaimOwned(Time now) -> void {
  for (const auto& limited : limits_.Limited(now)) {
    if (IsOwn(limited.target)) {
      issuer_.Own(limited.target, now);
    } else {
      issuer_.Disown(limited.target);
    }
  }
  for (const auto& [target, spread] : cold_spread_) {
    UpdateOwnership(target, now);
  }
}

auto TargetGuard::Tick(const PeerTable& peers, bool is_leaving, Time now)
    -> void {
  limits_.Tick(now);
  cold_.Tick(now);
  wallet_.Tick(now);
  pauses_.Tick(now);
  std::erase_if(known_pauses_, [now](const auto& entry) {
    return entry.second.until + kPauseTolerance < now;
  });
  while (!used_.empty() && now - used_.front() > kUseWindow) used_.pop_front();
  std::erase_if(spread_, [this](const auto& entry) {
    return limits_.FindNews(entry.first) == nullptr;
  });
  std::erase_if(cold_spread_, [this, now](const auto& entry) {
    if (cold_.Find(entry.first) != nullptr) return false;
    UpdateOwnership(entry.first, now);
    return true;
  });
  if (!is_any_limited() && leaving_.empty()) return;
  auto issuers = peers.LiveIssuers(now);
  auto owners = std::move(issuers.owners);
  if (!is_leaving || owners.empty()) owners.push_back(self_address_);
  if (owners != owners_) {
    owners_ = std::move(owners);
    owner_of_.clear();
  }
  ClaimOwned(now);
  // On the smaller side of a partition the other side uses the rest. Routers
  // that don't ask for permits use their part in any case.
  const auto live = static_cast<double>(peers.LiveCount(now) + 1);
  const auto known = static_cast<double>(peers.size() + 1);
  const auto side = 2 * live > known ? 1 : live / known;
  issuer_.SetShare(side * static_cast<double>(issuers.count + 1) / live);
  // Beyond the bound a cold target crashes, so that here the larger side also
  // leaves the rest to the other one.
  const auto part = live / known;
  cold_share_ = part >= kWholeFleetShare ? 1 : part / side;
}

auto TargetGuard::RecordPause(Time now) -> void {
  wallet_.DropAll();
  issuer_.Restart(now);
}

auto TargetGuard::ToRecord(const TargetId& target, Time now) const
    -> TargetLimitRecord {
  TargetLimitRecord record;
  record.target = TargetHash(target);
  const auto* news = limits_.FindNews(target);
  if (news == nullptr) return record;
  record.id = news->id;
  record.process = news->process;
  record.limit = news->limit;
  record.age = std::max(Duration{}, now - news->at);
  return record;
}

auto TargetGuard::TakeTurn(std::vector<TargetId> due) -> std::vector<TargetId> {
  if (due.size() <= kMaxRecords) return due;
  const auto begin = refresh_from_ % due.size();
  refresh_from_ = begin + kMaxRecords;
  std::rotate(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(begin),
              due.end());
  due.resize(kMaxRecords);
  return due;
}

auto TargetGuard::LimitsToRefresh(bool passes_on, bool is_member, Time now)
    -> std::vector<TargetId> {
  std::vector<TargetId> due;
  for (const auto& limited : limits_.Limited(now)) {
    auto& spread = spread_[limited.target];
    const auto is_due =
        passes_on || (is_member ? spread.is_own_news : IsOwn(limited.target));
    if (!is_due) continue;
    spread.is_own_news = false;
    due.push_back(limited.target);
  }
  return TakeTurn(std::move(due));
}

auto TargetGuard::ColdToRefresh(bool passes_on, bool is_member, Time now)
    -> std::vector<TargetId> {
  std::vector<TargetId> due;
  for (const auto& target : cold_.Cold(now)) {
    // In a mesh everyone tells, as an owner that has just started knows
    // nothing.
    if (passes_on || !is_member) due.push_back(target);
  }
  return TakeTurn(std::move(due));
}

auto TargetGuard::DeparturesToRefresh(bool passes_on, bool is_member)
    -> std::vector<TargetId> {
  std::vector<TargetId> due;
  for (const auto& [target, leaving] : leaving_) {
    const auto is_due =
        passes_on || (is_member ? leaving.is_own : IsOwn(target));
    if (is_due) due.push_back(target);
  }
  return TakeTurn(std::move(due));
}

auto TargetGuard::MakeReport(bool passes_on, bool is_member, Time now)
    -> StatementReport {
  StatementReport report;
  if (spread_.empty() && leaving_.empty() && known_pauses_.empty() &&
      cold_spread_.empty()) {
    return report;
  }
  const auto is_repeat_due = now - repeated_at_ >= kRepeatPeriod;
  if (is_repeat_due) repeated_at_ = now;
  const auto is_due = [is_repeat_due](int& repeats_left) {
    const auto is_first = repeats_left == kChangeRepeats;
    if (repeats_left == 0 || (!is_first && !is_repeat_due)) return false;
    --repeats_left;
    return true;
  };
  for (auto& [target, spread] : spread_) {
    if (report.limits.size() >= kMaxRecords) break;
    if (is_due(spread.repeats_left)) {
      report.limits.push_back(ToRecord(target, now));
    }
  }
  for (auto& [target, leaving] : leaving_) {
    if (report.departures.size() >= kMaxRecords) break;
    if (is_due(leaving.repeats_left)) {
      report.departures.push_back({TargetHash(target), leaving.process});
    }
  }
  for (auto& [target, pause] : known_pauses_) {
    if (report.pauses.size() >= kMaxRecords) break;
    if (pause.until > now && is_due(pause.repeats_left)) {
      report.pauses.push_back(
          {TargetHash(target), pause.process, pause.until - now});
    }
  }
  for (auto& [target, spread] : cold_spread_) {
    if (report.cold.size() >= kMaxRecords) break;
    if (is_due(spread.repeats_left)) {
      report.cold.push_back(ToColdRecord(target, now));
    }
  }
  const auto period =
      passes_on || is_member ? kHubRefreshPeriod : kMeshRefreshPeriod;
  if (now - refreshed_at_ < period) return report;
  refreshed_at_ = now;
  for (const auto& target : LimitsToRefresh(passes_on, is_member, now)) {
    report.limits.push_back(ToRecord(target, now));
  }
  for (const auto& target : ColdToRefresh(passes_on, is_member, now)) {
    report.cold.push_back(ToColdRecord(target, now));
  }
  for (const auto& target : DeparturesToRefresh(passes_on, is_member)) {
    report.departures.push_back(
        {TargetHash(target), leaving_.at(target).process});
  }
  return report;
}

}  // namespace papayaplank
