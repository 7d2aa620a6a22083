// The part of the core that handles target lists, peers and caller addresses.
#include <algorithm>
#include <cmath>

#include "gateway/caller_steering.h"
#include "gateway/gateway_core.h"

namespace papayaplank {
namespace {

// Average time between two reads of the router list in the whole fleet, and
// limits of the period of one router.
constexpr Duration kFleetRouterListPeriod = seconds(2);
constexpr Duration kShortestRouterListPeriod = seconds(8);
constexpr Duration kLongestRouterListPeriod = seconds(120);
// A member that sees a newer configuration in another data centre waits this
// long for its hub, and then reads the store itself.
constexpr Duration kHubReadTime = milliseconds(800);
// Peers that get a freshness query at a time.
constexpr std::size_t kQueriedPeers = 2;
// Routers that have missed news, such as members whose hubs are all new, read
// the target list at random times within this one, so that the store gets few
// calls at a time.
constexpr Duration kMissedNewsReadTime = milliseconds(800);
// Rows that one call for the target list returns.
constexpr std::size_t kRowsPerListCall = 500;

}  // namespace

auto GatewayCore::SetTargets(std::vector<TargetRow> rows,
                             std::uint64_t store_version, Time now)
    -> DirectoryChange {
  if (!options_.cold.is_set()) {
    for (auto& row : rows) row.cold_left = {};
  }
  auto change = directory_.Apply(TargetList{std::move(rows), store_version,
                                            IsStoreRecovering(now),
                                            store_eras_.DoubtfulVersion(now)});
  list_schedule_.RecordRead(now);
  for (const auto& update : change.updates) target_news_.AddRead(update, now);
  ApplyChange(change, now);
  if (options_.cold.is_set()) {
    for (const auto& update : directory_.AsUpdates()) {
      if (!update.is_gone) target_guard_.RecordRow(update.row, true, now);
    }
  }
  return change;
}

auto GatewayCore::ApplyChange(const DirectoryChange& change, Time now) -> void {
  for (const auto& target : change.joined) {
    target_of_hash_[TargetHash(target)] = target;
    target_exits_.RecordReturn(target);
  }
  for (const auto& target : change.restarted) {
    crash_guard_.RecordUnreachable(target, now);
    ResetTarget(target);
    PresumeCold(target, ColdCause::kRestarted, now);
  }
  for (const auto& target : change.left) {
    if (directory_.Find(target) != nullptr) continue;
    target_exits_.RecordRemoval(target, now);
    ResetTarget(target);
  }
}

auto GatewayCore::MayHaveExited(const TargetRow& target) const -> bool {
  return directory_.HasAnnouncedExit(target) ||
         target_exits_.IsRemoved(target.id);
}

auto GatewayCore::JudgeExit(const TargetRow& target, Time ended_at, ExitRow row,
                            Time now) const -> ExitVerdict {
  // Rows expire while the store is away, and an older copy of it may have them
  // still.
  const auto is_incomplete =
      (row == ExitRow::kAbsent && IsStoreRecovering(now)) ||
      store_eras_.IsSettling(now);
  return target_exits_.Judge(target.id, directory_.HasAnnouncedExit(target),
                             ended_at, is_incomplete ? ExitRow::kUnknown : row,
                             now);
}

auto GatewayCore::SetEvacuated(const std::vector<EvacuationRecord>& evacuated,
                               std::uint64_t version, Time now) -> void {
  if (store_eras_.IsSettling(now)) {
    // Other rows may be older than what is known, or may be missing.
    for (const auto& record : evacuated) {
      if (store_eras_.IsOfCurrentEra(record.version)) {
        SetEvacuation(record, now);
      }
    }
    return;
  }
  ApplyEvacuations(evacuation_news_.RecordList(evacuated, version, now), now);
}

auto GatewayCore::SetEvacuation(const EvacuationRecord& record, Time now)
    -> void {
  if (evacuation_news_.RecordRead(record, now)) ApplyEvacuations({record}, now);
}

auto GatewayCore::HandleEvacuations(
    const std::vector<EvacuationRecord>& records, StoreEra era, Time now)
    -> void {
  if (!CountsForEra(era, now)) {
    if (!records.empty()) ++counters_.stale_messages;
    return;
  }
  std::vector<EvacuationRecord> changes;
  const auto is_doubtful = store_eras_.IsSettling(now);
  for (const auto& record : records) {
    // It may be of the copy, like the rows that this router reads itself.
    if (is_doubtful && !store_eras_.IsOfCurrentEra(record.version)) continue;
    if (evacuation_news_.RecordHeard(record, now)) changes.push_back(record);
  }
  ApplyEvacuations(changes, now);
}

auto GatewayCore::ApplyEvacuations(const std::vector<EvacuationRecord>& changes,
                                   Time now) -> void {
  if (changes.empty()) return;
  directory_.SetEvacuated(evacuations().Evacuated());
  for (const auto& change : changes) {
    if (change.is_evacuated) continue;
    for (const auto& target : directory_.IdsIn(change.data_center)) {
      PresumeCold(target, ColdCause::kReturned, now);
    }
  }
}

auto GatewayCore::ResetTarget(const TargetId& target) -> void {
  cached_prefixes_.RemoveTarget(target);
  outcomes_.RemoveTarget(target);
  target_guard_.RemoveTarget(target);
  const auto load = loads_.find(target);
  if (directory_.Find(target) != nullptr) {
    if (load != loads_.end()) load->second.Reset();
    return;
  }
  if (load != loads_.end()) loads_.erase(load);
  target_of_hash_.erase(TargetHash(target));
}

auto GatewayCore::RecordStoreSuccess(Time now) -> void {
  store_continuity_.RecordSuccess(now);
}

auto GatewayCore::RecordStoreEra(std::optional<StoreEra> stated, Time sent_at,
                                 Time now) -> bool {
  const auto news = store_eras_.RecordAnswer(stated, sent_at, now);
  if (news == EraNews::kNew) BeginStoreEra();
  return news != EraNews::kStale;
}

auto GatewayCore::CountsForEra(StoreEra era, Time now) -> bool {
  const auto news = store_eras_.RecordPeer(era, now);
  if (news == EraNews::kNew) BeginStoreEra();
  return news != EraNews::kStale;
}

auto GatewayCore::BeginStoreEra() -> void {
  directory_.BeginEra();
  evacuation_news_.BeginEra();
  target_news_.BeginEra();
  DemandEraRead();
}

auto GatewayCore::DemandEraRead() -> void {
  // A long list takes several calls for each router.
  const auto pages = 1 + directory_.size() / kRowsPerListCall;
  list_read_demand_ = ListReadDemand{
      ListReadReason::kNewEra,
      Scale(kMissedNewsReadTime * static_cast<int>(pages), random_.Uniform())};
}

auto GatewayCore::IsStoreRecovering(Time now) const -> bool {
  if (store_eras_.IsSettling(now)) return true;
  // A router that calls the store rarely relies on peers that call it often.
  return !store_continuity_.IsContinuous(now) && !peers_.HasContinuousPeer(now);
}

auto GatewayCore::AddPeers(const std::vector<PeerSeed>& seeds, Time now)
    -> void {
  peers_.AddSeeds(seeds, now);
  retry_budget_.SetRouters(peers_.ExpectedCount(now) + 1, now);
}

auto GatewayCore::HandleReport(const PeerReport& report, Time now)
    -> DirectoryChange {
  if (!peers_.ApplyReport(report, report.sequence, now)) return {};
  retry_budget_.SetRouters(peers_.ExpectedCount(now) + 1, now);
  exchange_.ApplyReport(report, now);
  auto changes =
      ApplyTargetUpdates(report.target_updates, report.store_era, now);
  UpdateOtherLoads();
  return changes;
}

auto GatewayCore::HandleSummary(const FleetSummary& summary, Time now)
    -> DirectoryChange {
  if (!exchange_.ApplySummary(summary, now)) return {};
  retry_budget_.SetRouters(peers_.ExpectedCount(now) + 1, now);
  auto changes =
      ApplyTargetUpdates(summary.target_updates, summary.sender.store_era, now);
  UpdateOtherLoads();
  return changes;
}

auto GatewayCore::HandleEvidence(const PartEvidence& evidence, Time now)
    -> void {
  // Only hubs pass on what they hear; in a mesh everyone hears it first-hand.
  const auto passes_on = exchange_.role() == ExchangeRole::kHub;
  crash_guard_.quarantine().Merge(evidence.records, passes_on, now);
}

auto GatewayCore::ApplyTargetUpdates(const std::vector<TargetUpdate>& updates,
                                     StoreEra era, Time now)
    -> DirectoryChange {
  DirectoryChange changes;
  if (!CountsForEra(era, now)) {
    if (!updates.empty()) ++counters_.stale_messages;
    return changes;
  }
  const auto append = [](auto& to, const auto& from) {
    to.insert(to.end(), from.begin(), from.end());
  };
  // A router that has started since the return can't doubt the copy.
  const auto is_doubtful = store_eras_.IsSettling(now);
  for (const auto& update : updates) {
    const auto may_be_old =
        is_doubtful && !update.is_gone && !directory_.IsPlausible(update.row);
    if (may_be_old) continue;
    const auto change = directory_.Apply(update);
    ApplyChange(change, now);
    const auto* row = directory_.Find(update.row.id);
    const auto is_newest = row != nullptr && !update.is_gone &&
                           row->reports == update.row.reports &&
                           row->started_unix_ms == update.row.started_unix_ms;
    if (is_newest) target_guard_.RecordRow(*row, false, now);
    // A departure is news to other routers also if this one has never known
    // the target or has read of it itself.
    const auto is_news = !change.left.empty() || !change.restarted.empty() ||
                         !change.joined.empty() ||
                         directory_.ConfirmsDeparture(update);
    if (is_news) target_news_.AddHeard(update, now);
    append(changes.left, change.left);
    append(changes.restarted, change.restarted);
    append(changes.joined, change.joined);
  }
  return changes;
}

auto GatewayCore::UpdateOtherLoads() -> void {
  for (const auto hash : exchange_.TakeChanged()) {
    const auto known = target_of_hash_.find(hash);
    if (known == target_of_hash_.end()) continue;
    const auto* target = directory_.Find(known->second);
    if (target == nullptr) continue;
    FindOrAddLoad(*target).SetOthers(exchange_.Others(hash));
  }
}

auto GatewayCore::AnswerQuery(const FreshnessQuery& query, Time now) const
    -> std::optional<FreshnessReply> {
  if (table_ == nullptr || !keys_.IsValid(now)) return std::nullopt;
  return FreshnessReply{query.nonce, table_->version(), keys_.Age(now)};
}

auto GatewayCore::HandleReply(const FreshnessReply& reply) -> void {
  const auto as_of = watch_.HandleReply(reply);
  if (!as_of || table_ == nullptr) return;
  if (reply.config_version > table_->version()) return;
  // A router that has started since the return takes the copy for the newest.
  if (store_eras_.WasSettling(*as_of)) return;
  keys_.Confirm(*as_of);
}

auto GatewayCore::is_watcher(Time now) const -> bool {
  return watch_.IsWatcher(peers_.LivePeers(now),
                          store_continuity_.is_failing());
}

auto GatewayCore::ChooseSnapshotSource(Time now) -> std::string {
  // A member's hub has the newest version a moment after the watchers. If all
  // members read it from the store, each change would cost a call a router.
  const auto is_member = exchange_.role() == ExchangeRole::kMember &&
                         table_ != nullptr && !is_watcher(now);
  if (!store_continuity_.is_failing() && !is_member) return "";
  const auto version = table_ == nullptr ? 0 : table_->version();
  auto peers =
      peers_.AddressesWithNewerVersion(version, &options_.data_center, now);
  if (peers.empty() && store_continuity_.is_failing()) {
    peers = peers_.AddressesWithNewerVersion(version, nullptr, now);
  }
  return peers.empty() ? "" : peers[random_.Index(peers.size())];
}

auto GatewayCore::NewestConfiguration(Time now) const -> std::uint64_t {
  const auto own = table_ == nullptr ? 0 : table_->version();
  return std::max(own, peers_.NewestVersion(now));
}

auto GatewayCore::must_read_configuration(Time now) -> bool {
  if (table_ == nullptr) return true;
  if (NewestConfiguration(now) <= table_->version()) {
    behind_since_ = Time{};
    return false;
  }
  if (behind_since_ == Time{}) behind_since_ = now;
  return exchange_.role() != ExchangeRole::kMember ||
         now - behind_since_ >= kHubReadTime ||
         !ChooseSnapshotSource(now).empty();
}

auto GatewayCore::MakeSnapshot() const -> std::optional<PeerSnapshot> {
  if (table_ == nullptr) return std::nullopt;
  return PeerSnapshot{table_->document().source, directory_.AsUpdates(),
                      evacuation_news_.Known(), store_eras_.current()};
}

auto GatewayCore::DemandMissedNews() -> void {
  const auto delay = exchange_.role() == ExchangeRole::kHub
                         ? Duration{}
                         : Scale(kMissedNewsReadTime, random_.Uniform());
  list_read_demand_ = ListReadDemand{ListReadReason::kMissedNews, delay};
}

auto GatewayCore::TargetListReaders(Time now) const -> ListReaders {
  return ListReaders{exchange_.CountReaders(now), exchange_.is_informed(now),
                     IsStoreRecovering(now), directory_.has_missing_targets()};
}

auto GatewayCore::RouterListPeriod(Time now) const -> Duration {
  const auto routers = static_cast<int>(peers_.LiveCount(now)) + 1;
  return std::clamp(kFleetRouterListPeriod * routers, kShortestRouterListPeriod,
                    kLongestRouterListPeriod);
}

auto GatewayCore::ChooseQueryAddresses(Time now) -> std::vector<std::string> {
  auto live = peers_.LiveAddresses(now);
  std::vector<std::string> chosen;
  // Watchers have the newest confirmation.
  auto watchers = watch_.WatcherAddresses(peers_.LivePeers(now),
                                          store_continuity_.is_failing());
  if (!watchers.empty()) {
    chosen.push_back(watchers[random_.Index(watchers.size())]);
  }
  while (!live.empty() && chosen.size() < kQueriedPeers) {
    const auto index = random_.Index(live.size());
    chosen.push_back(live[index]);
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

auto GatewayCore::MakeState(Time now) const -> RouterState {
  RouterState state;
  state.started_unix_ms = options_.started_unix_ms;
  state.peer_address = options_.peer_address;
  state.caller_address = options_.caller_address;
  state.data_center = options_.data_center;
  state.cores = options_.cores;
  state.is_leaving = is_leaving();
  state.diverts_callers = load_.ShouldDivertCallers(now);
  state.is_ready = is_ready(now);
  state.is_store_continuous = store_continuity_.IsContinuous(now);
  state.is_store_failing = store_continuity_.is_failing();
  state.issues_permits = true;
  state.config_version = table_ == nullptr ? 0 : table_->version();
  state.store_era = store_eras_.current();
  return state;
}

auto GatewayCore::MakeReport(Time now) -> PeerReport {
  PeerReport report;
  static_cast<RouterState&>(report) = MakeState(now);
  report.sequence = ++report_sequence_;
  for (const auto& [target, load] : loads_) {
    if (load.is_idle()) continue;
    auto share = load.OwnShare();
    share.queued_tokens = std::round(share.queued_tokens);
    share.memory_tokens = std::round(share.memory_tokens);
    report.loads.emplace_back(TargetHash(target), share);
  }
  report.rates = shares_.OwnRates(now);
  report.target_updates =
      target_news_.ToSend(exchange_.role() == ExchangeRole::kHub, now);
  return report;
}

auto GatewayCore::MakePeerMessages(Time now) -> std::vector<OutgoingMessage> {
  exchange_.Tick(MakeState(now), now);
  if (exchange_.TakeHubChange()) target_news_.RepeatDepartures(now);
  const auto due = list_schedule_.Tick(TargetListReaders(now), random_, now);
  if (exchange_.TakeGap()) DemandMissedNews();
  if (store_eras_.TakeSettled(now)) DemandEraRead();
  if (!list_read_demand_) list_read_demand_ = due;
  UpdateOtherLoads();
  crash_guard_.Tick(now);
  target_guard_.Tick(peers_, is_leaving(), now);
  if (table_ != nullptr) {
    shares_.SetCapacity(table_->document().fleet_tokens_per_second *
                        LimitedCapacityShare(now));
  }
  auto messages = exchange_.MakeMessages(MakeReport(now), now);
  PartEvidence evidence{crash_guard_.quarantine().RecordsToSend(now)};
  if (!evidence.records.empty()) {
    messages.push_back(
        {std::move(evidence), exchange_.EvidenceRecipients(now)});
  }
  StatementReport statements{
      target_guard_.MakeReport(exchange_.role() == ExchangeRole::kHub,
                               exchange_.role() == ExchangeRole::kMember, now)};
  statements.store_era = store_eras_.current();
  statements.evacuations =
      evacuation_news_.ToSend(exchange_.role() == ExchangeRole::kHub, now);
  if (!statements.is_empty()) {
    messages.push_back(
        {std::move(statements), exchange_.EvidenceRecipients(now)});
  }
  return messages;
}

auto GatewayCore::ServingRouters(Time now) const -> std::vector<ServingRouter> {
  auto serving = peers_.ServingRouters(now);
  if (!is_leaving() && is_ready(now)) {
    serving.push_back({options_.caller_address, options_.data_center,
                       load_.ShouldDivertCallers(now), options_.cores});
  }
  return serving;
}

auto GatewayCore::CallerAddresses(const DataCenterId& near,
                                  std::string_view host,
                                  std::string_view caller, Time now) const
    -> std::vector<std::string> {
  auto serving = ServingRouters(now);
  const auto region = FindRegion(near);
  const auto is_foreign = [this, &region, host](const ServingRouter& router) {
    const auto other = FindRegion(router.data_center);
    return other != region && table_ != nullptr &&
           !table_->IsHomeOfHost(host, other);
  };
  const auto is_near_served = std::any_of(
      serving.begin(), serving.end(), [this, &region](const auto& router) {
        return FindRegion(router.data_center) == region;
      });
  // A caller whose own region has no router is better served by any other one
  // than by none.
  if (is_near_served) std::erase_if(serving, is_foreign);
  return ChooseCallerAddresses(serving, near, caller);
}

auto GatewayCore::is_accepting_connections(Time now) const -> bool {
  if (is_leaving() || !load_.is_listener_paused()) return true;
  const auto serving = ServingRouters(now);
  return serving.size() < 2 || IsFleetLoaded(serving);
}

}  // namespace papayaplank
