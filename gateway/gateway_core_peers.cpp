// What the core does with the store's news and with its peers.
#include <algorithm>

#include "gateway/caller_steering.h"
#include "gateway/gateway_core.h"

namespace papayaplank {
namespace {

// One router of the fleet reads the targets this often on average, and tells
// the others what changed.
constexpr Duration kFleetListing = milliseconds(200);
// Bounds on the period of one router.
constexpr Duration kShortestListing = milliseconds(700);
constexpr Duration kLongestListing = seconds(8);
constexpr Duration kRecoveringListing = milliseconds(1500);
// The delay until the next reading is the mean, plus or minus this share.
constexpr double kListingSpread = 0.5;
constexpr Duration kFleetRouterListing = seconds(2);
constexpr Duration kShortestRouterListing = seconds(8);
constexpr Duration kLongestRouterListing = seconds(120);
constexpr std::size_t kQueriedPeers = 2;
// How long a change is repeated in reports, as datagrams get lost.
constexpr Duration kNewsLife = milliseconds(1000);
constexpr std::size_t kMaxNewsPerReport = 24;
constexpr std::size_t kMaxRememberedRouters = 4096;

}  // namespace

auto GatewayCore::SetTargets(std::vector<TargetRow> rows,
                             std::uint64_t store_version, Time now)
    -> DirectoryChange {
  auto change = directory_.Apply(
      TargetListing{std::move(rows), store_version, IsStoreRecovering(now)});
  for (const auto& news : change.news) news_.emplace_back(now, news);
  TakeChange(change);
  return change;
}

auto GatewayCore::TakeChange(const DirectoryChange& change) -> void {
  for (const auto& target : change.joined) {
    by_hash_[TargetHash(target)] = target;
  }
  for (const auto& target : change.restarted) ForgetTarget(target);
  for (const auto& target : change.left) {
    if (directory_.Find(target) == nullptr) ForgetTarget(target);
  }
}

auto GatewayCore::ForgetTarget(const TargetId& target) -> void {
  prefixes_.Forget(target);
  outcomes_.Forget(target);
  const auto load = loads_.find(target);
  if (directory_.Find(target) != nullptr) {
    if (load != loads_.end()) load->second.Reset();
    return;
  }
  if (load != loads_.end()) loads_.erase(load);
  by_hash_.erase(TargetHash(target));
}

auto GatewayCore::RecordStoreSuccess(Time now) -> void {
  continuity_.RecordSuccess(now);
}

auto GatewayCore::IsStoreRecovering(Time now) const -> bool {
  // A router that reads rarely relies on the peers that read often.
  return !continuity_.IsContinuous(now) && !peers_.HasContinuousPeer(now);
}

auto GatewayCore::AddPeers(const std::vector<PeerSeed>& seeds, Time now)
    -> void {
  peers_.AddSeeds(seeds, now);
}

auto GatewayCore::TakeReport(const PeerReport& report, Time now)
    -> DirectoryChange {
  if (!peers_.Take(report, now)) return {};
  const auto router = report.router();
  retries_.SetRouters(peers_.LiveCount(now) + 1);
  if (report.rates) shares_.SetPeer(router, *report.rates, now);
  auto changes = TakeNews(report.news);
  TakeLoads(report, router, now);
  return changes;
}

auto GatewayCore::TakeNews(const std::vector<TargetNews>& news)
    -> DirectoryChange {
  DirectoryChange changes;
  const auto append = [](auto& to, const auto& from) {
    to.insert(to.end(), from.begin(), from.end());
  };
  for (const auto& one : news) {
    const auto change = directory_.Apply(one);
    TakeChange(change);
    append(changes.left, change.left);
    append(changes.restarted, change.restarted);
    append(changes.joined, change.joined);
  }
  return changes;
}

auto GatewayCore::TakeLoads(const PeerReport& report, const RouterId& router,
                            Time now) -> void {
  // A target that the report does not name holds nothing of that router.
  auto& named = peer_targets_[router];
  std::unordered_set<std::uint32_t> present;
  for (const auto& [hash, share] : report.loads) {
    present.insert(hash);
    const auto known = by_hash_.find(hash);
    if (known == by_hash_.end()) continue;
    const auto* target = directory_.Find(known->second);
    if (target != nullptr) LoadOf(*target).SetPeer(router, share, now);
  }
  for (const auto hash : named) {
    if (present.count(hash) != 0) continue;
    const auto known = by_hash_.find(hash);
    if (known == by_hash_.end()) continue;
    const auto load = loads_.find(known->second);
    if (load != loads_.end()) load->second.SetPeer(router, LoadShare{}, now);
  }
  named = std::move(present);
  if (peer_targets_.size() > kMaxRememberedRouters) peer_targets_.clear();
}

auto GatewayCore::Answer(const FreshnessQuery& query, Time now) const
    -> std::optional<FreshnessReply> {
  if (table_ == nullptr || !keys_.IsValid(now)) return std::nullopt;
  return FreshnessReply{query.nonce, table_->version(), keys_.Age(now)};
}

auto GatewayCore::TakeReply(const FreshnessReply& reply) -> void {
  const auto as_of = watch_.Take(reply);
  if (!as_of || table_ == nullptr) return;
  if (reply.config_version > table_->version()) return;
  keys_.Confirm(*as_of);
}

auto GatewayCore::is_watcher(Time now) const -> bool {
  return watch_.IsWatcher(peers_.LivePeers(now), continuity_.is_failing());
}

auto GatewayCore::is_behind(Time now) const -> bool {
  if (table_ == nullptr) return true;
  return !peers_.NewerThan(table_->version(), now).empty();
}

auto GatewayCore::SnapshotSource(Time now) -> std::string {
  if (!continuity_.is_failing()) return "";
  const auto version = table_ == nullptr ? 0 : table_->version();
  const auto peers = peers_.NewerThan(version, now);
  return peers.empty() ? "" : peers[random_.Index(peers.size())];
}

auto GatewayCore::MakeSnapshot() const -> std::optional<PeerSnapshot> {
  if (table_ == nullptr) return std::nullopt;
  return PeerSnapshot{table_->document().source, directory_.AsNews()};
}

auto GatewayCore::NextListingDelay(Time now) -> Duration {
  const auto routers = static_cast<int>(peers_.LiveCount(now)) + 1;
  const auto longest =
      IsStoreRecovering(now) ? kRecoveringListing : kLongestListing;
  const auto mean =
      std::clamp(kFleetListing * routers, kShortestListing, longest);
  const auto spread =
      1 - kListingSpread + 2 * kListingSpread * random_.Uniform();
  return Scale(mean, spread);
}

auto GatewayCore::RouterListingPeriod(Time now) const -> Duration {
  const auto routers = static_cast<int>(peers_.LiveCount(now)) + 1;
  return std::clamp(kFleetRouterListing * routers, kShortestRouterListing,
                    kLongestRouterListing);
}

auto GatewayCore::QueryAddresses(Time now) -> std::vector<std::string> {
  auto live = peers_.LiveAddresses(now);
  std::vector<std::string> chosen;
  // Watchers know best.
  auto watchers =
      watch_.WatcherAddresses(peers_.LivePeers(now), continuity_.is_failing());
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

auto GatewayCore::MakeReport(Time now) -> PeerReport {
  PeerReport report;
  report.started_unix_ms = options_.started_unix_ms;
  report.sequence = ++report_sequence_;
  report.peer_address = options_.peer_address;
  report.caller_address = options_.caller_address;
  report.data_center = options_.data_center;
  report.is_leaving = is_leaving_;
  report.should_be_spared = load_.ShouldBeSpared(now);
  report.is_ready = is_ready(now);
  report.config_version = table_ == nullptr ? 0 : table_->version();
  for (const auto& [target, load] : loads_) {
    if (!load.is_idle()) {
      report.loads.emplace_back(TargetHash(target), load.OwnShare());
    }
  }
  report.rates = shares_.OwnRates(now);
  report.is_store_continuous = continuity_.IsContinuous(now);
  report.is_store_failing = continuity_.is_failing();
  while (!news_.empty() && now - news_.front().first > kNewsLife) {
    news_.pop_front();
  }
  for (const auto& [read_at, news] : news_) {
    if (report.news.size() < kMaxNewsPerReport) report.news.push_back(news);
  }
  return report;
}

auto GatewayCore::ReportRecipients(Time now) -> DueReports {
  const auto peers = peers_.ReportPeers(options_.data_center, now);
  // That it leaves is told to everybody at once.
  if (is_leaving_ && now - leaving_since_ < kNewsLife) {
    DueReports everybody;
    for (const auto& peer : peers) {
      everybody.without_rates.push_back(peer.address);
    }
    return everybody;
  }
  return DuePeers(peers, report_sequence_);
}

auto GatewayCore::ServingRouters(Time now) const -> std::vector<ServingRouter> {
  auto serving = peers_.Serving(now);
  if (!is_leaving_ && is_ready(now)) {
    serving.push_back({options_.caller_address, options_.data_center,
                       load_.ShouldBeSpared(now)});
  }
  return serving;
}

auto GatewayCore::CallerAddresses(const DataCenterId& near, Time now) const
    -> std::vector<std::string> {
  return ChooseCallerAddresses(ServingRouters(now), near);
}

auto GatewayCore::is_gate_open(Time now) const -> bool {
  if (is_leaving_ || !load_.is_gate_closed()) return true;
  const auto serving = ServingRouters(now);
  return serving.size() < 2 || IsFleetLoaded(serving);
}

}  // namespace papayaplank
