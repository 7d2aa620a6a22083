// The request path of the core: admission, choice of targets, retries.
#include "gateway/gateway_core.h"

#include <algorithm>
#include <functional>

namespace papayaplank {
namespace {

// Subtracted from the revocation bound. Covers the time from the caller's
// sending of a request to its arrival here, and a read of the configuration
// that is in progress.
constexpr Duration kRevocationMargin = milliseconds(400);
// Departures are repeated for 6 s (`TargetNews`), so a shorter pause of this
// process misses none.
constexpr Duration kLongestPauseWithNews = seconds(4);
// Includes attempts that a target refused; a route may allow more. After an
// attempt that may have run, `Route::max_attempts` is the only bound.
constexpr int kMaxAttemptsPerRequest = 3;
// Cooldown of a target after it refused a request or was not reached.
constexpr Duration kRefusalCooldown = milliseconds(100);
constexpr Duration kNotReachedCooldown = milliseconds(500);
// Cost of a generated token, in prompt tokens.
constexpr double kOutputWeight = 2;
// A target whose limit was not named for this long is tried as soon as there is
// a permit, to find out if the limit still holds.
constexpr Duration kStaleLimitAge = seconds(5);
// Permits that are asked for, for one attempt; each takes a round trip.
constexpr int kMaxPermitRequests = 3;
// A reply to a request for a permit takes a round trip, and longer at loaded
// routers.
constexpr Duration kPermitTimeout = milliseconds(60);
// Weight of a new request in the average of their costs.
constexpr double kCostWeight = 0.02;
// Retry-After if it is unknown how long the cause of the refusal will last.
constexpr Duration kUnknownRetryAfter = milliseconds(300);
// Least Retry-After of a request with a quarantined prompt part.
constexpr Duration kLeastQuarantineRetryAfter = seconds(5);
// Retry-After of a saturated router.
constexpr Duration kBusyRetryAfter = milliseconds(150);
// For requests without a stated deadline.
constexpr Duration kDefaultDeadline = seconds(60);
// Share of a target's connection limit that all routers together may use.
constexpr double kPlannedConnectionShare = 0.9;

// Cost of a request in prompt tokens.
auto RequestCost(const PromptFacts& prompt) -> double {
  return prompt.prompt_tokens + kOutputWeight * prompt.expected_output_tokens;
}

}  // namespace

GatewayCore::GatewayCore(GatewayOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      keys_(options_.revocation_bound, kRevocationMargin),
      watch_(options_.router),
      target_exits_(options_.exits),
      stop_window_(options_.stop_grace),
      peers_(options_.peer_address),
      retry_budget_(options_.retries),
      crash_guard_(StableHash("crash guard", options_.seed)),
      target_guard_(
          options_.peer_address, StableHash("limits", options_.seed),
          [this](const TargetId& target) { return ColdRate(target); }),
      exchange_(peers_, shares_, options_.seed) {}

auto GatewayCore::SetTable(std::shared_ptr<const RoutingTable> table) -> bool {
  if (table_ != nullptr && table->version() <= table_->version()) return false;
  table_ = std::move(table);
  shares_.SetCapacity(table_->document().fleet_tokens_per_second);
  return true;
}

auto GatewayCore::ConfirmConfiguration(Time sent_at) -> void {
  keys_.Confirm(sent_at);
}

auto GatewayCore::RecordPause(Duration length, Time now) -> void {
  keys_.Invalidate();
  crash_guard_.RecordPause();
  target_guard_.RecordPause(now);
  if (length >= kLongestPauseWithNews) DemandMissedNews();
}

auto GatewayCore::BeginStop(Time now) -> void { stop_window_.Begin(now); }

auto GatewayCore::Refuse(RefusalReason reason, Duration retry_after)
    -> Refusal {
  ++counters_.refused;
  return Refusal{reason, retry_after};
}

auto GatewayCore::RefuseUnknown(RefusalReason reason, Time now) -> Refusal {
  // A newer configuration may have it, and the caller would not try elsewhere.
  if (!keys_.IsConfirmedWithin(options_.configuration_bound, now)) {
    return Refuse(RefusalReason::kConfigurationUnconfirmed, kUnknownRetryAfter);
  }
  return Refuse(reason, {});
}

auto GatewayCore::IsProbeOwner(PartId part, Time now) const -> bool {
  const auto own = StableHash(options_.peer_address, part);
  const auto addresses = peers_.LiveAddresses(now);
  return std::all_of(addresses.begin(), addresses.end(),
                     [own, part](const std::string& address) {
                       return StableHash(address, part) <= own;
                     });
}

auto GatewayCore::RefuseQuarantined(const std::vector<PartId>& parts, Time now)
    -> std::optional<Refusal> {
  auto& quarantine = crash_guard_.quarantine();
  const auto part = quarantine.FindQuarantined(parts);
  if (!part) return std::nullopt;
  const auto wait = quarantine.TimeToProbe(*part, now);
  if (wait <= Duration{} && IsProbeOwner(*part, now)) {
    quarantine.RecordProbe(*part, now);
    return std::nullopt;
  }
  auto refusal = Refuse(RefusalReason::kQuarantinedPart,
                        std::max<Duration>(wait, kLeastQuarantineRetryAfter));
  refusal.part = *part;
  return refusal;
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

auto GatewayCore::Accept(const RequestFacts& facts, Time now) -> AcceptResult {
  ++counters_.requests;
  if (table_ == nullptr) {
    return Refuse(RefusalReason::kNoConfiguration, kUnknownRetryAfter);
  }
  const auto* route = table_->FindRoute(facts.host, facts.path);
  if (route == nullptr) return RefuseUnknown(RefusalReason::kNoRoute, now);
  GatewayRequest request;
  request.table = table_;
  request.route = route;
  if (table_->document().has_customers && !route->is_public) {
    if (!keys_.IsValid(now)) {
      return Refuse(RefusalReason::kKeyUnconfirmed, kUnknownRetryAfter);
    }
    const auto* customer = table_->FindCustomer(facts.key);
    if (customer == nullptr) {
      return RefuseUnknown(RefusalReason::kUnknownKey, now);
    }
    request.customer = *customer;
  }
  const auto is_stream = route->kind == RequestKind::kStream;
  auto wait =
      facts.caller_wait > Duration{} ? facts.caller_wait : kDefaultDeadline;
  if (route->timeout > Duration{}) wait = std::min(wait, route->timeout);
  // A resumable stream that outlasts the router goes on at another one, which
  // costs its caller less than to be refused by each router of a rolling stop.
  const auto may_be_cut = route->is_resumable && stop_window_.HasJustBegun(now);
  if (!stop_window_.Fits(wait, now) && !may_be_cut) {
    return Refuse(RefusalReason::kLeaving, milliseconds(1));
  }
  if (is_stream && load_.is_saturated()) {
    return Refuse(RefusalReason::kRouterBusy, kBusyRetryAfter);
  }
  // Before the demand is counted: requests that can't run take no share.
  if (auto refusal = RefuseQuarantined(SharedParts(facts.prompt.parts), now)) {
    return std::move(*refusal);
  }
  request.prompt = facts.prompt;
  request.arrived_at = now;
  request.deadline = now + wait;
  request.pool = ChoosePool(*route);
  const auto tokens = RequestCost(request.prompt);
  if (tokens > 0) shares_.RecordDemand(request.customer, tokens, now);
  return request;
}

auto GatewayCore::FindOrAddLoad(const TargetRow& target) -> EngineLoad& {
  const auto [entry, is_new] = loads_.try_emplace(target.id);
  // Rows and configurations may change the size of a target that is in use.
  TargetSize size{target.slots, 0};
  const auto* service =
      table_ == nullptr ? nullptr : table_->FindService(target.pool);
  if (service != nullptr && service->engine) {
    size.memory_tokens = service->engine->memory_tokens;
  }
  entry->second.SetSize(size);
  if (is_new) {
    entry->second.SetOthers(exchange_.Others(TargetHash(target.id)));
  }
  return entry->second;
}

auto GatewayCore::PreferredTargets(const std::vector<TargetRow>& targets,
                                   const std::vector<PromptPart>& parts)
    -> std::vector<const TargetRow*> {
  if (parts.empty()) return {};
  using Ranked = std::pair<std::uint64_t, const TargetRow*>;
  std::vector<Ranked> ranked;
  ranked.reserve(targets.size());
  for (const auto& target : targets) {
    ranked.emplace_back(CachedPrefixes::PreferenceScore(target.id, parts),
                        &target);
  }
  const auto count = std::min<std::size_t>(kPreferredTargets, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<const TargetRow*> preferred;
  for (std::size_t i = 0; i < count; ++i) preferred.push_back(ranked[i].second);
  return preferred;
}

auto GatewayCore::FindRegion(const DataCenterId& data_center) const
    -> RegionId {
  const auto found = options_.regions.find(data_center);
  return found == options_.regions.end() ? RegionId() : found->second;
}

auto GatewayCore::IsAtHome(const GatewayRequest& request,
                           const TargetRow& target) const -> bool {
  return request.table->IsHome(*request.route, request.customer,
                               FindRegion(target.data_center));
}

auto GatewayCore::FindOptions(const GatewayRequest& request,
                              PermitClass permit_class, Time now)
    -> std::vector<TargetOption> {
  std::vector<TargetOption> options;
  const auto& targets = directory_.Serving(request.pool);
  options.reserve(targets.size());
  const auto& prompt = request.prompt;
  const auto preferred = PreferredTargets(targets, prompt.parts);
  // Starts at a random target, so that equally good ones share the load.
  const auto first = targets.empty() ? 0 : random_.Index(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto& target = targets[(first + i) % targets.size()];
    if (request.tried_targets.count(target.id) != 0) continue;
    if (!IsAtHome(request, target)) continue;
    TargetOption option;
    option.target = &target;
    // For a target that is not preferred, `find` gives the number of preferred
    // ones, which is `kNotPreferred`.
    option.preference_rank = static_cast<int>(
        std::find(preferred.begin(), preferred.end(), &target) -
        preferred.begin());
    if (preferred.empty()) option.preference_rank = kNotPreferred;
    option.is_near = target.data_center == options_.data_center;
    if (!prompt.parts.empty()) {
      option.to_read = cached_prefixes_.UncachedTokens(
          target.id, prompt.parts, option.preference_rank == 0, now);
    }
    option.forecast = FindOrAddLoad(target).Forecast(
        option.to_read.total(),
        option.to_read.total() + prompt.expected_output_tokens, now);
    option.is_cooling_down = outcomes_.IsCoolingDown(target.id, now);
    option.failure_rate = outcomes_.FailureRate(target.id, now);
    if (target_guard_.pauses().TimeToSend(target.id, now) > Duration{}) {
      option.permission = Permission::kNone;
      target_guard_.pauses().RecordHeldBack(target.id);
      options.push_back(option);
      continue;
    }
    option.permission = target_guard_.Check(target.id, permit_class, now);
    if (option.permission != Permission::kNotNeeded) {
      const auto* news = target_guard_.limits().FindNews(target.id);
      option.is_limit_stale = news != nullptr && news->limit &&
                              now - news->at > kStaleLimitAge &&
                              FindOrAddLoad(target).is_idle();
      if (option.permission == Permission::kMayAsk &&
          request.permit_requests >= kMaxPermitRequests) {
        option.permission = Permission::kNone;
      }
    }
    options.push_back(option);
  }
  return options;
}

auto GatewayCore::Place(GatewayRequest& request, Time now) -> PlacementResult {
  if (request.attempts > 0) {
    // The part may have been quarantined since the first attempt.
    auto refusal = RefuseQuarantined(SharedParts(request.prompt.parts), now);
    if (refusal) return std::move(*refusal);
  }
  AdmissionTerms terms;
  terms.objective = request.route->objective;
  terms.time_left = request.deadline - now;
  terms.is_engine = request.prompt.prompt_tokens > 0;
  if (terms.is_engine) {
    terms.share_used = shares_.ShareUsed(request.customer, now);
  }
  const auto options = FindOptions(request, terms.permit_class(), now);
  const auto* option = ChooseOption(options, terms);
  if (option == nullptr) {
    const auto pause = PromiseReturn(request.pool, now);
    if (pause > Duration{}) return Refuse(RefusalReason::kTargetsPaused, pause);
    if (!options.empty()) return RefuseLimited(options, terms, now);
    return Refuse(RefusalReason::kNoTarget, kUnknownRetryAfter);
  }
  // A retry is not refused: its request was admitted before.
  auto check = CheckAdmission(*option, terms);
  Placement placement;
  if (auto* refusal = std::get_if<Refusal>(&check)) {
    if (request.attempts == 0) {
      ++counters_.refused;
      return std::move(*refusal);
    }
    placement.facts = *refusal->facts;
  } else {
    placement.facts = std::move(std::get<AdmissionFacts>(check));
  }
  if (option->permission == Permission::kMayAsk) {
    ++request.permit_requests;
    return PermitWait{
        target_guard_.Ask(option->target->id, terms.permit_class(), now),
        kPermitTimeout};
  }
  placement.target = *option->target;
  placement.attempt = AttemptId(next_attempt_++);
  placement.tokens_to_read = option->to_read.total();
  const auto& prompt = request.prompt;
  FindOrAddLoad(placement.target)
      .Start(placement.attempt, placement.tokens_to_read,
             placement.tokens_to_read + prompt.expected_output_tokens, now);
  if (terms.is_engine) {
    crash_guard_.StartAttempt(placement, prompt.parts, now);
  }
  if (request.attempts == 0) {
    const auto tokens = RequestCost(prompt);
    if (tokens > 0) {
      shares_.RecordService(request.customer, tokens, now);
      const auto weight = mean_request_cost_ > 0 ? kCostWeight : 1;
      mean_request_cost_ += weight * (tokens - mean_request_cost_);
    }
    // Only requests that targets take allow retries: refused ones leave the
    // targets no room for them.
    retry_budget_.RecordRequest(request.pool, now);
  }
  target_guard_.RecordSend(placement.target.id, now);
  request.permit_requests = 0;
  request.tried_targets.insert(placement.target.id);
  ++request.attempts;
  ++counters_.attempts;
  return placement;
}

auto GatewayCore::RecordFirstToken(const Placement& placement, Time now)
    -> void {
  const auto found = loads_.find(placement.target.id);
  if (found != loads_.end()) {
    found->second.RecordFirstToken(placement.attempt, now);
  }
  crash_guard_.RecordOutput(placement.attempt, now);
}

auto GatewayCore::RecordTargetCheck(const TargetId& target, bool is_reachable,
                                    Time now) -> void {
  if (is_reachable) {
    crash_guard_.RecordReachable(target);
    return;
  }
  crash_guard_.RecordUnreachable(target, now);
  PresumeCold(target, ColdCause::kUnreachable, now);
  outcomes_.StartCooldown(target, kNotReachedCooldown, now);
}

auto GatewayCore::RecordAttemptEnd(const GatewayRequest& request,
                                   const Placement& placement,
                                   AttemptOutcome outcome, Time now) -> void {
  const auto& target = placement.target.id;
  const auto found = loads_.find(target);
  if (found != loads_.end()) found->second.End(placement.attempt, now);
  crash_guard_.EndAttempt(placement.attempt, outcome, now);
  switch (outcome) {
    case AttemptOutcome::kComplete:
      ++counters_.completed;
      outcomes_.RecordSuccess(target, now);
      if (!request.prompt.parts.empty()) {
        cached_prefixes_.RecordRead(target, request.prompt.parts, now);
      }
      return;
    case AttemptOutcome::kCancelled:
      return;
    case AttemptOutcome::kNotExecuted:
      outcomes_.StartCooldown(target, kRefusalCooldown, now);
      break;
    case AttemptOutcome::kNotReached:
      PresumeCold(target, ColdCause::kUnreachable, now);
      [[fallthrough]];
    case AttemptOutcome::kWrongTarget:
      outcomes_.StartCooldown(target, kNotReachedCooldown, now);
      outcomes_.RecordFailure(target, now);
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kBroken:
      outcomes_.RecordFailure(target, now);
      break;
  }
  ++counters_.failed_attempts;
}

auto GatewayCore::MayRetry(const GatewayRequest& request,
                           AttemptOutcome outcome, bool has_events, Time now)
    -> bool {
  if (outcome == AttemptOutcome::kComplete ||
      outcome == AttemptOutcome::kCancelled) {
    return false;
  }
  const auto& route = *request.route;
  if (now >= request.deadline ||
      request.attempts >=
          std::max(kMaxAttemptsPerRequest, route.max_attempts)) {
    return false;
  }
  const auto has_surely_not_run = HasSurelyNotRun(outcome);
  if (!has_surely_not_run) {
    const auto is_retryable =
        route.kind == RequestKind::kIdempotent ||
        (route.kind == RequestKind::kStream && route.is_resumable);
    if (!is_retryable || request.attempts >= route.max_attempts) return false;
  }
  if (has_events && !route.is_resumable) return false;
  if (!has_surely_not_run && crash_guard_.quarantine().IsSuspected(
                                 SharedParts(request.prompt.parts))) {
    return false;
  }
  if (!retry_budget_.TrySpend(request.pool, now)) return false;
  ++counters_.retries;
  return true;
}

auto GatewayCore::is_ready(Time now) const -> bool {
  return table_ != nullptr && directory_.size() > 0 && keys_.IsValid(now);
}

auto GatewayCore::ConnectionShare(const PoolId& pool, Time now) const
    -> std::size_t {
  const auto* service = table_ == nullptr ? nullptr : table_->FindService(pool);
  // If the service states no connection limit.
  constexpr std::size_t kDefaultConnections = 1000;
  if (service == nullptr || service->max_connections <= 0) {
    return kDefaultConnections;
  }
  const auto routers = static_cast<double>(peers_.LiveCount(now) + 1);
  const auto share =
      kPlannedConnectionShare * service->max_connections / routers;
  return std::max<std::size_t>(2, static_cast<std::size_t>(share));
}

auto GatewayCore::PoolStates(Time now) -> std::vector<PoolState> {
  std::vector<PoolState> states;
  if (table_ == nullptr) return states;
  for (const auto& service : table_->document().services) {
    PoolState state;
    state.pool = service.id;
    for (const auto& target : directory_.Serving(service.id)) {
      ++state.targets;
      state.slots += target.slots;
      const auto load = loads_.find(target.id);
      if (load != loads_.end()) state.requests += load->second.requests();
    }
    state.retries_left = retry_budget_.Remaining(service.id, now);
    states.push_back(std::move(state));
  }
  return states;
}

}  // namespace papayaplank
