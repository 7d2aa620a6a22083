// Events of the simulated fleet: requests, answers with limits, messages,
// restarts.
#include "tests/gateway/limit_fleet.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr Duration kTick = milliseconds(100);
constexpr Duration kLatency = milliseconds(2);
constexpr Duration kHeadTime = milliseconds(40);
constexpr Duration kDeadline = seconds(12);
constexpr double kPartTokens = 100;

auto MakeTable(const LimitFleetOptions& options)
    -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = 1;
  Route route;
  route.name = "chat";
  route.host = "shop.example";
  route.prefix = "/chat/";
  route.kind =
      options.is_engine ? RequestKind::kStream : RequestKind::kIdempotent;
  route.timeout = kDeadline;
  route.objective = milliseconds(400);
  route.max_attempts = 2;
  route.is_resumable = options.is_engine;
  route.pools = {{PoolId("targets"), 1}};
  document.routes = {route};
  Service service;
  service.id = PoolId("targets");
  service.cold_time = options.cold_time;
  service.cold_requests_per_second = options.cold_per_second;
  if (options.is_engine) service.engine = EngineLimits{options.slots, 600000};
  document.services = {service};
  document.has_customers = true;
  for (int i = 0; i < options.customers; ++i) {
    const auto name = "c" + std::to_string(i);
    document.customer_of_key["key-" + name] = CustomerId(name);
  }
  document.fleet_tokens_per_second = 3e6;
  return std::make_shared<const RoutingTable>(document);
}

}  // namespace

LimitFleet::LimitFleet(const LimitFleetOptions& options)
    : options_(options), random_(options.seed) {
  for (int i = 0; i < options_.targets; ++i) {
    Target target;
    auto& row = target.row;
    row.id = TargetId("t" + std::to_string(i));
    row.address = "127.0.0.1:" + std::to_string(9000 + i);
    row.pool = PoolId("targets");
    row.data_center =
        DataCenterId("dc" + std::to_string(i % options_.data_centers));
    row.slots = options_.slots;
    row.started_unix_ms = 1;
    target_index_[row.id] = i;
    targets_.push_back(std::move(target));
  }
  for (int i = 0; i < options_.routers; ++i) {
    auto& router = routers_[i];
    router.address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":1";
    router.is_old = i >= options_.routers - options_.old_routers;
    router_of_address_[router.address] = i;
  }
  for (int i = 0; i < options_.routers; ++i) StartRouter(i);
  At(kTick, [this] { SendMessages(); });
  if (options_.cold_per_second > 0) At(kListPeriod, [this] { ReadRows(); });
  ScheduleRequest();
}

auto LimitFleet::At(Duration delay, std::function<void()> action) -> void {
  events_.push(Event{now_ + delay, ++event_count_, std::move(action)});
}

auto LimitFleet::AtRouter(int router, int incarnation, Duration delay,
                          std::function<void()> action) -> void {
  At(delay, [this, router, incarnation, action = std::move(action)] {
    auto& process = routers_.at(router);
    if (process.core == nullptr || process.incarnation != incarnation) return;
    if (process.is_frozen) {
      process.postponed.push_back(action);
    } else {
      action();
    }
  });
}

auto LimitFleet::Run(Duration time) -> void {
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

auto LimitFleet::Rows() const -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (const auto& target : targets_) rows.push_back(target.row);
  return rows;
}

auto LimitFleet::SetLimit(int target, std::optional<double> per_second)
    -> void {
  targets_.at(static_cast<std::size_t>(target))
      .limits.push_back({now_, per_second});
}

auto LimitFleet::StartRouter(int index) -> void {
  auto& router = routers_.at(index);
  ++router.incarnation;
  router.disturbed_at = now_;
  router.is_frozen = false;
  router.postponed.clear();
  router.told_at.clear();
  router.left_at.clear();
  router.waiting.clear();
  GatewayOptions options;
  options.peer_address = router.address;
  options.caller_address = "c" + router.address;
  options.data_center =
      DataCenterId("dc" + std::to_string(index % options_.data_centers));
  options.started_unix_ms = ++starts_;
  options.router = RouterId(router.address + "#" + std::to_string(starts_));
  options.retries = RetryBound{0.2, 1000, seconds(10)};
  if (options_.cold_per_second > 0) options.cold = ColdBound{1.5, 5};
  options.seed = options_.seed * 1000 + static_cast<std::uint64_t>(starts_);
  router.core = std::make_unique<GatewayCore>(options);
  router.core->SetTable(MakeTable(options_));
  router.core->ConfirmConfiguration(now_);
  router.core->SetTargets(Rows(), ++store_version_, now_);
  std::vector<PeerSeed> seeds;
  for (const auto& [peer, other] : routers_) {
    if (peer == index) continue;
    seeds.push_back(
        {other.address,
         DataCenterId("dc" + std::to_string(peer % options_.data_centers)), 1});
  }
  router.core->AddPeers(seeds, now_);
}

auto LimitFleet::KillRouter(int index) -> void {
  routers_.at(index).core = nullptr;
}

auto LimitFleet::FreezeRouter(int index) -> void {
  routers_.at(index).is_frozen = true;
  routers_.at(index).frozen_at = now_;
}

auto LimitFleet::WakeRouter(int index) -> void {
  auto& router = routers_.at(index);
  router.is_frozen = false;
  router.disturbed_at = now_;
  if (router.core == nullptr) return;
  router.core->RecordPause(now_ - router.frozen_at, now_);
  router.core->ConfirmConfiguration(now_);
  for (const auto& action : std::exchange(router.postponed, {})) action();
}

auto LimitFleet::CutRouter(int index, bool is_cut) -> void {
  routers_.at(index).is_cut = is_cut;
  routers_.at(index).disturbed_at = now_;
}

auto LimitFleet::SendMessages() -> void {
  for (auto& [index, router] : routers_) {
    if (router.core == nullptr || router.is_frozen) continue;
    router.core->ConfirmConfiguration(now_);
    router.core->RecordStoreSuccess(now_);
    Send(index, router.core->MakePeerMessages(now_));
  }
  At(kTick, [this] { SendMessages(); });
}

auto LimitFleet::Send(int from, std::vector<OutgoingMessage> messages) -> void {
  for (auto& [message, recipients] : messages) {
    if (routers_.at(from).is_old) HideVersion(message);
    const auto size = EncodePeerMessage(message).size();
    for (const auto& address : recipients) {
      ++traffic_.messages;
      traffic_.bytes += size;
      const auto to = router_of_address_.at(address);
      if (routers_.at(to).is_cut != routers_.at(from).is_cut) continue;
      if (random_.Uniform() < options_.message_loss) continue;
      AtRouter(
          to, routers_.at(to).incarnation, options_.message_latency,
          [this, from, to, message = message] { Deliver(from, to, message); });
    }
  }
}

auto LimitFleet::HideVersion(PeerMessage& message) -> void {
  if (auto* report = std::get_if<PeerReport>(&message)) {
    report->issues_permits = false;
  } else if (auto* summary = std::get_if<FleetSummary>(&message)) {
    summary->sender.issues_permits = false;
    for (auto& state : summary->listed) state.issues_permits = false;
  }
}

auto LimitFleet::Deliver(int from, int to, const PeerMessage& message) -> void {
  auto& core = *routers_.at(to).core;
  if (const auto* report = std::get_if<PeerReport>(&message)) {
    core.HandleReport(*report, now_);
  } else if (const auto* summary = std::get_if<FleetSummary>(&message)) {
    core.HandleSummary(*summary, now_);
  } else if (routers_.at(to).is_old || routers_.at(from).is_old) {
    return;
  } else if (const auto* statements = std::get_if<StatementReport>(&message)) {
    core.HandleStatementReport(*statements, now_);
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    const auto grant = core.HandlePermitRequest(*request, now_);
    if (grant) Send(to, {{*grant, {request->sender}}});
  } else if (const auto* grant = std::get_if<PermitGrant>(&message)) {
    core.HandlePermitGrant(*grant, now_);
    Resume(to, grant->nonce);
  }
}

auto LimitFleet::Resume(int router, PermitNonce nonce) -> void {
  auto& waiting = routers_.at(router).waiting;
  const auto found = waiting.find(nonce);
  if (found == waiting.end()) return;
  auto attempt = std::move(found->second);
  waiting.erase(found);
  Place(std::move(attempt));
}

auto LimitFleet::ScheduleRequest() -> void {
  // Between half and one and a half times the mean.
  const auto gap = Scale(
      seconds(1), (0.5 + random_.Uniform()) / options_.requests_per_second);
  At(gap, [this] {
    const auto is_flood = random_.Uniform() < options_.flood_share;
    const auto is_pinned = is_flood ? options_.is_flood_pinned
                                    : random_.Uniform() < options_.pinned_share;
    const auto customer =
        is_flood ? 0
                 : random_.Index(static_cast<std::size_t>(options_.customers));
    SendRequest(CustomerId("c" + std::to_string(customer)),
                is_pinned ? std::optional(0) : std::nullopt, false);
    ScheduleRequest();
  });
}

auto LimitFleet::SendRequest(const CustomerId& customer,
                             std::optional<int> at_router, bool has_returned)
    -> void {
  const auto index = at_router
                         ? *at_router
                         : static_cast<int>(random_.Index(
                               static_cast<std::size_t>(options_.routers)));
  auto& router = routers_.at(index);
  if (router.core == nullptr || router.is_frozen) return;
  RequestFacts facts;
  facts.host = "shop.example";
  facts.path = "/chat/";
  facts.key = "key-" + customer.value();
  facts.caller_wait = kDeadline;
  if (options_.is_engine) {
    const auto session =
        random_.Index(static_cast<std::size_t>(options_.sessions));
    facts.prompt.parts = {{1, kPartTokens},
                          {1000 + session, kPartTokens},
                          {1'000'000 + ++request_count_, kPartTokens}};
    facts.prompt.prompt_tokens = 3 * kPartTokens;
    facts.prompt.expected_output_tokens = kPartTokens;
  }
  if (has_returned) {
    ++service_.returned;
  } else {
    ++service_.requests;
    ++service_.requests_by_customer[customer];
  }
  auto accepted = router.core->Accept(facts, now_);
  auto* request = std::get_if<GatewayRequest>(&accepted);
  if (request == nullptr) return;
  Attempt attempt;
  attempt.router = index;
  attempt.incarnation = router.incarnation;
  attempt.request = std::make_shared<GatewayRequest>(std::move(*request));
  attempt.has_returned = has_returned;
  Place(std::move(attempt));
}

auto LimitFleet::Place(Attempt attempt) -> void {
  auto& core = *routers_.at(attempt.router).core;
  auto result = core.Place(*attempt.request, now_);
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    return Refuse(attempt, *refusal);
  }
  if (const auto* wait = std::get_if<PermitWait>(&result)) {
    const auto router = attempt.router;
    AtRouter(router, attempt.incarnation, wait->timeout,
             [this, router, nonce = wait->nonce] {
               auto& process = routers_.at(router);
               if (process.waiting.count(nonce) == 0) return;
               process.core->RecordPermitSilence(nonce, now_);
               Resume(router, nonce);
             });
    routers_.at(router).waiting.emplace(wait->nonce, std::move(attempt));
    return Send(router, core.TakePermitRequests());
  }
  service_.longest_decision =
      std::max(service_.longest_decision, now_ - attempt.request->arrived_at);
  attempt.placement = std::move(std::get<Placement>(result));
  attempt.sent_at = now_;
  attempt.has_events = false;
  At(kLatency,
     [this, attempt = std::move(attempt)] { Reach(std::move(attempt)); });
}

auto LimitFleet::Refuse(const Attempt& attempt, const Refusal& refusal)
    -> void {
  const auto wait = refusal.retry_after;
  const auto may_return = !attempt.has_returned &&
                          attempt.request->attempts == 0 && wait > Duration{} &&
                          wait < kDeadline / 3;
  if (!may_return) return;
  At(wait, [this, customer = attempt.request->customer] {
    SendRequest(customer, std::nullopt, true);
  });
}

auto LimitFleet::IsInTouch(const Router& router) const -> bool {
  return router.core != nullptr && !router.is_frozen && !router.is_cut &&
         now_ - router.disturbed_at > kContact;
}

auto LimitFleet::Reach(Attempt attempt) -> void {
  const auto index = target_index_.at(attempt.placement.target.id);
  auto& target = targets_[static_cast<std::size_t>(index)];
  if (target.is_down) {
    ++target.running;
    return End(std::move(attempt), index, AttemptOutcome::kNotReached);
  }
  const auto& router = routers_.at(attempt.router);
  const auto told = router.told_at.find(index);
  const auto is_told =
      told != router.told_at.end() && now_ - told->second >= milliseconds(500);
  target.arrivals.push_back(
      {now_, attempt.router, is_told && IsInTouch(router)});
  const auto left = router.left_at.find(index);
  if (left != router.left_at.end() &&
      attempt.request->arrived_at > left->second + kDrain) {
    ++late_arrivals_;
  }
  for (auto& pause : pauses_) {
    const auto is_told = pause.router == attempt.router &&
                         pause.incarnation == attempt.incarnation &&
                         pause.target == index;
    if (is_told && now_ > pause.at + milliseconds(500) && now_ < pause.until) {
      ++pause.requests;
    }
  }
  ++target.running;
  if (target.is_silent) return;
  At(kHeadTime,
     [this, attempt = std::move(attempt), index] { Answer(attempt, index); });
}

auto LimitFleet::LimitAt(const Target& target, Time time) const
    -> std::optional<double> {
  std::optional<double> limit;
  for (const auto& change : target.limits) {
    if (change.at <= time) limit = change.per_second;
  }
  return limit;
}

auto LimitFleet::Answer(Attempt attempt, int index) -> void {
  auto& target = targets_[static_cast<std::size_t>(index)];
  const auto limit = LimitAt(target, now_);
  const auto router = attempt.router;
  const auto is_paused = target.pause && random_.Uniform() < target.pause_share;
  if (is_paused) {
    pauses_.push_back({attempt.router, attempt.incarnation, index, now_,
                       now_ + *target.pause, 0});
  }
  const auto is_rejected =
      is_paused || random_.Uniform() < options_.rejected_share;
  const auto is_leaving = target.is_leaving;
  const auto pause = is_paused ? target.pause : std::nullopt;
  const auto is_broken = random_.Uniform() < options_.broken_share;
  AtRouter(router, attempt.incarnation, kLatency, [=, this] {
    auto& process = routers_.at(router);
    if (limit) process.told_at.try_emplace(index, now_);
    if (process.is_old) return;
    TargetStatement statement;
    if (limit) statement.limit = RequestRate{*limit};
    statement.is_leaving = is_leaving;
    statement.pause = pause;
    if (is_leaving) process.left_at.try_emplace(index, now_);
    process.core->RecordStatement(attempt.placement, statement, now_);
  });
  if (is_rejected) {
    return End(std::move(attempt), index, AttemptOutcome::kNotExecuted);
  }
  AtRouter(router, attempt.incarnation, kLatency, [=, this] {
    routers_.at(router).core->RecordFirstToken(attempt.placement, now_);
  });
  attempt.has_events = options_.is_engine;
  const auto outcome =
      is_broken ? AttemptOutcome::kBroken : AttemptOutcome::kComplete;
  const auto time = is_broken ? options_.run_time / 4 : options_.run_time;
  At(time, [=, this] { End(attempt, index, outcome); });
}

auto LimitFleet::End(Attempt attempt, int index, AttemptOutcome outcome)
    -> void {
  --targets_[static_cast<std::size_t>(index)].running;
  AtRouter(attempt.router, attempt.incarnation, kLatency, [=, this] {
    auto& core = *routers_.at(attempt.router).core;
    core.RecordAttemptEnd(*attempt.request, attempt.placement, outcome, now_);
    if (outcome == AttemptOutcome::kComplete) {
      ++(attempt.has_returned ? service_.served_on_return : service_.served);
      ++service_.served_by_customer[attempt.request->customer];
      return;
    }
    if (core.MayRetry(*attempt.request, outcome, attempt.has_events, now_)) {
      Place(attempt);
    }
  });
}

auto LimitFleet::Arrivals(int target, Time since) const -> int {
  const auto& arrivals = targets_.at(static_cast<std::size_t>(target)).arrivals;
  return static_cast<int>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [since](const Arrival& a) { return a.at > since; }));
}

auto LimitFleet::ArrivalsFrom(int router, int target, Time since) const -> int {
  const auto& arrivals = targets_.at(static_cast<std::size_t>(target)).arrivals;
  return static_cast<int>(std::count_if(
      arrivals.begin(), arrivals.end(), [router, since](const Arrival& a) {
        return a.router == router && a.at > since;
      }));
}

auto LimitFleet::MostInPause() const -> int {
  int most = 0;
  for (const auto& pause : pauses_) most = std::max(most, pause.requests);
  return most;
}

auto LimitFleet::WorstExcess() const -> double {
  constexpr auto kWindow = seconds(4);
  constexpr auto kStep = milliseconds(100);
  constexpr auto kStepsPerSecond = 10;
  constexpr double kAllowed = 1.5;
  auto worst = -1e9;
  for (const auto& target : targets_) {
    if (target.limits.empty()) continue;
    const auto first = target.limits.front().at + kContact;
    for (auto end = first + kStep; end <= now_; end += kStep) {
      const auto begin = std::max(first, end - kWindow);
      // Of the steps. Multiplied once at the end, as the rounding errors of 40
      // products would add up to more than none.
      double limits = 0;
      auto is_unlimited = false;
      for (auto at = begin; at < end; at += kStep) {
        // A change is in force after the bound.
        std::optional<double> most = 0;
        for (const auto shift : {Duration{}, Duration(kContact)}) {
          const auto limit = LimitAt(target, at - shift);
          most = limit && most ? std::optional(std::max(*most, *limit))
                               : std::nullopt;
        }
        for (const auto& change : target.limits) {
          if (change.at <= at - kContact || change.at > at) continue;
          most = change.per_second && most
                     ? std::optional(std::max(*most, *change.per_second))
                     : std::nullopt;
        }
        if (!most) is_unlimited = true;
        limits += most.value_or(0);
      }
      if (is_unlimited) continue;
      const auto count =
          std::count_if(target.arrivals.begin(), target.arrivals.end(),
                        [begin, end](const Arrival& arrival) {
                          return arrival.is_counted && arrival.at > begin &&
                                 arrival.at <= end;
                        });
      const auto allowed = kAllowed * limits / kStepsPerSecond;
      worst = std::max(worst, static_cast<double>(count) - allowed);
    }
  }
  return worst;
}

}  // namespace papayaplank
