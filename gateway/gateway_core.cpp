// Composition of routing and admission.
#include "gateway/gateway_core.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Covers the time between a caller's send and the arrival here, and the read
// that is under way.
constexpr Duration kRevocationMargin = milliseconds(400);
// Sends of one request, refused ones too.
constexpr int kMaxSends = 3;
// Time to wait before a refused target is tried again.
constexpr Duration kRefusalRest = milliseconds(100);
constexpr Duration kNotReachedRest = milliseconds(500);
// Cost of a generated token in units of a prompt token.
constexpr double kOutputWeight = 2;
// Caller's retry when nothing is known about the cause's end.
constexpr Duration kUnknownRetryAfter = milliseconds(300);
// Bound on requests without a stated deadline.
constexpr Duration kDefaultDeadline = seconds(60);
// A stopping router takes streams for this long, and other requests as long
// as they can end before the process is killed.
constexpr Duration kStreamsAfterStop = milliseconds(300);
constexpr Duration kStopMargin = milliseconds(1500);
// One router of the fleet reads the targets this often on average, and tells
// the others what changed.
constexpr Duration kFleetListing = milliseconds(200);
// Bounds on the period of one router.
constexpr Duration kShortestListing = milliseconds(700);
constexpr Duration kLongestListing = seconds(8);
constexpr Duration kRecoveringListing = milliseconds(1500);
constexpr Duration kFleetRouterListing = seconds(2);
constexpr Duration kShortestRouterListing = seconds(8);
constexpr Duration kLongestRouterListing = seconds(120);
constexpr std::size_t kQueriedPeers = 2;
// How long a change is repeated in reports, as datagrams get lost.
constexpr Duration kNewsLife = milliseconds(1000);
constexpr std::size_t kMaxNewsPerReport = 24;
constexpr std::size_t kMaxRememberedRouters = 4096;
// Share of a target's connections that the routers plan for.
constexpr double kConnectionShare = 0.9;

}  // namespace

auto RefusalName(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kKeyUnconfirmed:
      return "key_unconfirmed";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kUnknownKey:
      return "unknown_key";
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kOverShare:
      return "over_share";
    case RefusalReason::kNoRoom:
      return "no_room";
    case RefusalReason::kLeaving:
      return "leaving";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kNotExecuted:
      return "not_executed";
    case RefusalReason::kTargetFailed:
      return "target_failed";
    case RefusalReason::kTimeout:
      return "timeout";
  }
  return "unknown";
}

auto RefusalStatus(RefusalReason reason) -> int {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return 404;
    case RefusalReason::kUnknownKey:
      return 401;
    case RefusalReason::kOverShare:
      return 429;
    case RefusalReason::kTargetFailed:
      return 502;
    case RefusalReason::kTimeout:
      return 504;
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kKeyUnconfirmed:
    case RefusalReason::kNoTarget:
    case RefusalReason::kNoRoom:
    case RefusalReason::kLeaving:
    case RefusalReason::kDeadline:
    case RefusalReason::kNotExecuted:
      return 503;
  }
  return 503;
}

auto SendOutcomeName(SendOutcome outcome) -> std::string_view {
  switch (outcome) {
    case SendOutcome::kComplete:
      return "complete";
    case SendOutcome::kServerError:
      return "server_error";
    case SendOutcome::kNotExecuted:
      return "not_executed";
    case SendOutcome::kWrongTarget:
      return "wrong_target";
    case SendOutcome::kNotReached:
      return "not_reached";
    case SendOutcome::kBroken:
      return "broken";
    case SendOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

auto SurelyNotRun(SendOutcome outcome) -> bool {
  return outcome == SendOutcome::kNotExecuted ||
         outcome == SendOutcome::kWrongTarget ||
         outcome == SendOutcome::kNotReached;
}

GatewayCore::GatewayCore(GatewayOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      keys_(options_.revocation_bound, kRevocationMargin),
      watch_(options_.router),
      peers_(options_.peer_address),
      retries_(options_.retries) {}

auto GatewayCore::SetTable(std::shared_ptr<const RoutingTable> table) -> bool {
  if (table_ != nullptr && table->version() <= table_->version()) return false;
  table_ = std::move(table);
  shares_.SetCapacity(table_->document().fleet_tokens_per_second);
  return true;
}

auto GatewayCore::ConfirmConfiguration(Time sent_at) -> void {
  keys_.Confirm(sent_at);
}

auto GatewayCore::SetTargets(std::vector<TargetRow> rows,
                             std::uint64_t store_version, Time now)
    -> DirectoryChange {
  const auto change = directory_.Apply(TargetListing{
      std::move(rows), store_version, IsStoreRecovering(now)});
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
  if (load == loads_.end()) return;
  load->second.Reset();
  if (directory_.Find(target) != nullptr) return;
  loads_.erase(load);
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
  DirectoryChange changes;
  if (!peers_.Take(report, now)) return changes;
  const auto router = report.router();
  retries_.SetRouters(peers_.LiveCount(now) + 1);
  if (report.rates) shares_.SetPeer(router, *report.rates, now);
  for (const auto& news : report.news) {
    const auto change = directory_.Apply(news);
    TakeChange(change);
    const auto append = [](auto& to, const auto& from) {
      to.insert(to.end(), from.begin(), from.end());
    };
    append(changes.left, change.left);
    append(changes.restarted, change.restarted);
    append(changes.joined, change.joined);
  }
  TakeLoads(report, router, now);
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
  return watch_.IsWatcher(peers_.LivePeers(now));
}

auto GatewayCore::is_behind(Time now) const -> bool {
  if (table_ == nullptr) return true;
  return peers_.NewestVersion(now) > table_->version();
}

auto GatewayCore::ListingPeriod(Time now) const -> Duration {
  const auto routers = static_cast<int>(peers_.LiveCount(now)) + 1;
  const auto longest =
      IsStoreRecovering(now) ? kRecoveringListing : kLongestListing;
  return std::clamp(kFleetListing * routers, kShortestListing, longest);
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
  auto watchers = watch_.WatcherAddresses(peers_.LivePeers(now));
  if (!watchers.empty()) chosen.push_back(watchers[random_.Index(watchers.size())]);
  while (!live.empty() && chosen.size() < kQueriedPeers) {
    const auto index = random_.Index(live.size());
    chosen.push_back(live[index]);
    live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

auto GatewayCore::RecordPause(Time) -> void { keys_.Invalidate(); }

auto GatewayCore::BeginStop(Time now) -> void {
  if (is_leaving_) return;
  is_leaving_ = true;
  leaving_since_ = now;
}

auto GatewayCore::ChoosePool(const Route& route) -> PoolId {
  double total = 0;
  for (const auto& pool : route.pools) {
    if (!directory_.Serving(pool.pool).empty()) total += pool.weight;
  }
  auto pick = random_.Uniform() * total;
  for (const auto& pool : route.pools) {
    if (directory_.Serving(pool.pool).empty()) continue;
    if (pick < pool.weight) return pool.pool;
    pick -= pool.weight;
  }
  return route.pools.front().pool;
}

auto GatewayCore::Accept(const RequestFacts& facts, Time now) -> Accepted {
  ++counters_.requests;
  const auto refuse = [this](RefusalReason reason, Duration retry_after) {
    ++counters_.refused;
    return Refusal{reason, retry_after};
  };
  if (table_ == nullptr) {
    return refuse(RefusalReason::kNoConfiguration, kUnknownRetryAfter);
  }
  const auto* route = table_->FindRoute(facts.host, facts.path);
  if (route == nullptr) return refuse(RefusalReason::kNoRoute, {});
  GatewayRequest request;
  request.table = table_;
  request.route = route;
  if (table_->document().has_customers && !route->is_public) {
    if (!keys_.IsValid(now)) {
      return refuse(RefusalReason::kKeyUnconfirmed, kUnknownRetryAfter);
    }
    const auto* customer = table_->FindCustomer(facts.key);
    if (customer == nullptr) return refuse(RefusalReason::kUnknownKey, {});
    request.customer = *customer;
  }
  const auto is_stream = route->kind == RequestKind::kStream;
  auto wait = facts.caller_wait > Duration{} ? facts.caller_wait
                                             : kDefaultDeadline;
  if (route->timeout > Duration{}) wait = std::min(wait, route->timeout);
  if (is_leaving_) {
    const auto left = leaving_since_ + options_.stop_grace - kStopMargin - now;
    const auto is_too_long =
        is_stream ? now - leaving_since_ > kStreamsAfterStop : left < wait / 2;
    if (is_too_long) return refuse(RefusalReason::kLeaving, milliseconds(1));
  }
  request.prompt = facts.prompt;
  request.arrived_at = now;
  request.deadline = now + wait;
  request.pool = ChoosePool(*route);
  retries_.RecordRequest(request.pool, now);
  const auto& prompt = request.prompt;
  const auto tokens =
      prompt.prompt_tokens + kOutputWeight * prompt.expected_output_tokens;
  if (tokens > 0) shares_.RecordAsked(request.customer, tokens, now);
  return request;
}

auto GatewayCore::LoadOf(const TargetRow& target) -> EngineLoad& {
  const auto [entry, is_new] = loads_.try_emplace(target.id);
  if (is_new) {
    TargetSize size{target.slots, 0};
    const auto* service =
        table_ == nullptr ? nullptr : table_->FindService(target.pool);
    if (service != nullptr && service->engine) {
      size.memory_tokens = service->engine->memory_tokens;
    }
    entry->second.SetSize(size);
  }
  return entry->second;
}

auto GatewayCore::HomeOf(const std::vector<TargetRow>& targets,
                         const std::vector<PromptPart>& parts) const
    -> TargetId {
  TargetId home;
  std::uint64_t best = 0;
  if (parts.empty()) return home;
  for (const auto& target : targets) {
    const auto rank = PrefixHomes::Rank(target.id, parts);
    if (!home.is_empty() && rank <= best) continue;
    home = target.id;
    best = rank;
  }
  return home;
}

auto GatewayCore::FindOptions(const GatewayRequest& request, Time now)
    -> std::vector<TargetOption> {
  std::vector<TargetOption> options;
  const auto& targets = directory_.Serving(request.pool);
  options.reserve(targets.size());
  const auto& prompt = request.prompt;
  const auto home = HomeOf(targets, prompt.parts);
  // The scan starts at a random target, so that equal ones share the load.
  const auto first = targets.empty() ? 0 : random_.Index(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto& target = targets[(first + i) % targets.size()];
    if (request.tried.count(target.id) != 0) continue;
    TargetOption option;
    option.target = &target;
    option.is_home = target.id == home;
    option.is_near = target.data_center == options_.data_center;
    if (!prompt.parts.empty()) {
      option.to_read =
          prefixes_.Missing(target.id, prompt.parts, option.is_home, now);
    }
    option.forecast = LoadOf(target).Forecast(
        option.to_read.total(),
        option.to_read.total() + prompt.expected_output_tokens, now);
    option.is_resting = outcomes_.IsResting(target.id, now);
    option.failure_rate = outcomes_.FailureRate(target.id, now);
    options.push_back(option);
  }
  return options;
}

auto GatewayCore::Place(GatewayRequest& request, Time now) -> PlacementResult {
  const auto refuse = [this](RefusalReason reason, Duration retry_after) {
    ++counters_.refused;
    return Refusal{reason, retry_after};
  };
  const auto options = FindOptions(request, now);
  AdmissionTerms terms;
  terms.objective = request.route->objective;
  terms.time_left = request.deadline - now;
  terms.is_engine = request.prompt.prompt_tokens > 0;
  if (terms.is_engine) {
    terms.share_used = shares_.ShareUsed(request.customer, now);
  }
  const auto* option = ChooseOption(options, terms);
  if (option == nullptr) {
    return refuse(RefusalReason::kNoTarget, kUnknownRetryAfter);
  }
  // A request that was sent before is admitted already.
  const auto check = CheckAdmission(*option, terms);
  if (request.sends == 0 && std::holds_alternative<Refusal>(check)) {
    const auto& refusal = std::get<Refusal>(check);
    return refuse(refusal.reason, refusal.retry_after);
  }
  Placement placement;
  placement.target = *option->target;
  placement.number = RequestNumber(next_number_++);
  placement.forecast = option->forecast;
  placement.tokens_to_read = option->to_read.total();
  const auto& prompt = request.prompt;
  LoadOf(placement.target)
      .Start(placement.number, placement.tokens_to_read,
             placement.tokens_to_read + prompt.expected_output_tokens, now);
  if (request.sends == 0) {
    const auto tokens =
        prompt.prompt_tokens + kOutputWeight * prompt.expected_output_tokens;
    if (tokens > 0) shares_.RecordServed(request.customer, tokens, now);
  }
  request.tried.insert(placement.target.id);
  ++request.sends;
  ++counters_.sends;
  return placement;
}

auto GatewayCore::RecordFirstToken(const Placement& placement, Time now)
    -> void {
  const auto found = loads_.find(placement.target.id);
  if (found != loads_.end()) {
    found->second.RecordFirstToken(placement.number, now);
  }
}

auto GatewayCore::RecordEnd(const GatewayRequest& request,
                            const Placement& placement, SendOutcome outcome,
                            Time now) -> void {
  const auto& target = placement.target.id;
  const auto found = loads_.find(target);
  if (found != loads_.end()) found->second.End(placement.number, now);
  switch (outcome) {
    case SendOutcome::kComplete:
      ++counters_.completed;
      outcomes_.RecordSuccess(target, now);
      if (!request.prompt.parts.empty()) {
        prefixes_.RecordRead(target, request.prompt.parts, now);
      }
      return;
    case SendOutcome::kCancelled:
      return;
    case SendOutcome::kNotExecuted:
      outcomes_.RecordRefusal(target, kRefusalRest, now);
      break;
    case SendOutcome::kNotReached:
    case SendOutcome::kWrongTarget:
      outcomes_.RecordRefusal(target, kNotReachedRest, now);
      outcomes_.RecordFailure(target, now);
      break;
    case SendOutcome::kServerError:
    case SendOutcome::kBroken:
      outcomes_.RecordFailure(target, now);
      break;
  }
  ++counters_.failed_sends;
}

auto GatewayCore::MayRepeat(const GatewayRequest& request, SendOutcome outcome,
                            bool has_events, Time now) -> bool {
  if (outcome == SendOutcome::kComplete || outcome == SendOutcome::kCancelled) {
    return false;
  }
  if (now >= request.deadline || request.sends >= kMaxSends) return false;
  const auto& route = *request.route;
  const auto is_sure = SurelyNotRun(outcome);
  if (!is_sure) {
    const auto is_repeatable =
        route.kind == RequestKind::kIdempotent ||
        (route.kind == RequestKind::kStream && route.is_resumable);
    if (!is_repeatable || request.sends >= route.max_attempts) return false;
  }
  if (has_events && !route.is_resumable) return false;
  if (!retries_.TrySpend(request.pool, now)) return false;
  ++counters_.repeats;
  return true;
}

auto GatewayCore::MakeReport(Time now) -> PeerReport {
  PeerReport report;
  report.started_unix_ms = options_.started_unix_ms;
  report.sequence = ++report_sequence_;
  report.peer_address = options_.peer_address;
  report.caller_address = options_.caller_address;
  report.data_center = options_.data_center;
  report.is_leaving = is_leaving_;
  report.is_ready = is_ready(now);
  report.config_version = table_ == nullptr ? 0 : table_->version();
  for (const auto& [target, load] : loads_) {
    if (!load.is_idle()) {
      report.loads.emplace_back(TargetHash(target), load.OwnShare());
    }
  }
  constexpr std::uint64_t kReportsPerRates = 3;
  if (report.sequence % kReportsPerRates == 0) {
    report.rates = shares_.OwnRates(now);
  }
  report.is_store_continuous = continuity_.IsContinuous(now);
  while (!news_.empty() && now - news_.front().first > kNewsLife) {
    news_.pop_front();
  }
  for (const auto& [read_at, news] : news_) {
    if (report.news.size() < kMaxNewsPerReport) report.news.push_back(news);
  }
  return report;
}

auto GatewayCore::ReportAddresses(Time now) -> std::vector<std::string> {
  return peers_.Addresses(now);
}

auto GatewayCore::CallerAddresses(const DataCenterId& near, Time now) const
    -> std::vector<std::string> {
  const auto is_self_serving = !is_leaving_ && is_ready(now);
  auto addresses = peers_.ServingNear(near, now);
  if (is_self_serving && options_.data_center == near) {
    addresses.push_back(options_.caller_address);
  }
  // One router alone would be lost with every caller nearby.
  if (addresses.size() >= 2) return addresses;
  addresses = peers_.Serving(now);
  if (is_self_serving) addresses.push_back(options_.caller_address);
  return addresses;
}

auto GatewayCore::is_ready(Time now) const -> bool {
  return table_ != nullptr && directory_.size() > 0 && keys_.IsValid(now);
}

auto GatewayCore::ConnectionShare(const PoolId& pool, Time now) const
    -> std::size_t {
  const auto* service = table_ == nullptr ? nullptr : table_->FindService(pool);
  constexpr std::size_t kUnbounded = 1000;
  if (service == nullptr || service->max_connections <= 0) return kUnbounded;
  const auto routers = static_cast<double>(peers_.LiveCount(now) + 1);
  const auto share = kConnectionShare * service->max_connections / routers;
  return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

}  // namespace papayaplank
