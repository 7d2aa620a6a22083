// Events of the simulated fleet: requests, engines, messages, restarts.
#include "tests/gateway/crash_fleet.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr Duration kTick = milliseconds(100);
constexpr Duration kLatency = milliseconds(2);
// A crashed engine's row stays this long; another engine starts then.
constexpr Duration kRowLifetime = milliseconds(3600);
constexpr Duration kRestartTime = milliseconds(4000);
// Of a run: wait in the queue, first event after the start, pause between
// events, number of events.
constexpr Duration kLongestQueueWait = milliseconds(60);
constexpr Duration kEventPeriod = milliseconds(50);
constexpr int kEvents = 24;
// Time from the start of a fatal answer until its engine has ended.
constexpr Duration kShortestCrash = milliseconds(30);
constexpr Duration kLongestCrash = milliseconds(80);
constexpr int kSlots = 32;
constexpr double kFirstPartTokens = 200;

auto MakeTable(bool is_resumable) -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = 1;
  Route route;
  route.name = "chat";
  route.host = "shop.example";
  route.prefix = "/chat/";
  route.kind = RequestKind::kStream;
  route.timeout = seconds(12);
  route.objective = milliseconds(400);
  route.max_attempts = is_resumable ? 2 : 1;
  route.is_resumable = is_resumable;
  route.pools = {{PoolId("engines"), 1}};
  document.routes = {route};
  Service engines;
  engines.id = PoolId("engines");
  engines.engine = EngineLimits{kSlots, 600000};
  document.services = {engines};
  document.fleet_tokens_per_second = 3e6;
  return std::make_shared<const RoutingTable>(document);
}

}  // namespace

CrashFleet::CrashFleet(const CrashFleetOptions& options)
    : options_(options), random_(options.seed) {
  for (int i = 0; i < options_.engines; ++i) AddEngine();
  for (int i = 0; i < options_.routers; ++i) {
    auto& router = routers_[i];
    router.address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":1";
    router_of_address_[router.address] = i;
  }
  for (int i = 0; i < options_.routers; ++i) StartRouter(i);
  At(kTick, [this] { SendMessages(); });
  ScheduleRequests(false);
  ScheduleRequests(true);
}

auto CrashFleet::At(Duration delay, std::function<void()> action) -> void {
  events_.push(Event{now_ + delay, ++event_count_, std::move(action)});
}

auto CrashFleet::Run(Duration time) -> void {
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

auto CrashFleet::AddEngine() -> void {
  const auto number = ++starts_;
  TargetRow row;
  row.id = TargetId("t" + std::to_string(number));
  row.address = "127.0.0.1:" + std::to_string(9000 + number);
  row.pool = PoolId("engines");
  row.data_center =
      DataCenterId("dc" + std::to_string(number % options_.data_centers));
  row.slots = kSlots;
  row.started_unix_ms = number;
  engines_[row.id].row = row;
}

auto CrashFleet::Rows() const -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (const auto& [id, engine] : engines_) rows.push_back(engine.row);
  for (const auto& [id, row] : stale_rows_) rows.push_back(row);
  return rows;
}

auto CrashFleet::PublishTargets() -> void {
  ++store_version_;
  for (auto& [index, router] : routers_) {
    if (router.core != nullptr) {
      router.core->SetTargets(Rows(), store_version_, now_);
    }
  }
}

auto CrashFleet::StartRouter(int index) -> void {
  auto& router = routers_.at(index);
  ++router.incarnation;
  router.disturbed_at = now_;
  GatewayOptions options;
  options.peer_address = router.address;
  options.caller_address = "c" + router.address;
  options.data_center =
      DataCenterId("dc" + std::to_string(index % options_.data_centers));
  options.started_unix_ms = ++starts_;
  options.router = RouterId(router.address + "#" + std::to_string(starts_));
  options.retries = RetryBound{0.2, 1000, seconds(10)};
  options.seed = options_.seed * 1000 + static_cast<std::uint64_t>(starts_);
  router.core = std::make_unique<GatewayCore>(options);
  router.core->SetTable(MakeTable(options_.is_resumable));
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

auto CrashFleet::KillRouter(int index) -> void {
  auto& router = routers_.at(index);
  router.core = nullptr;
  for (auto& [id, engine] : engines_) {
    std::erase_if(engine.attempts, [index](const auto& entry) {
      return entry.second.router == index;
    });
  }
}

auto CrashFleet::CutRouter(int index, bool is_cut) -> void {
  routers_.at(index).is_cut = is_cut;
  routers_.at(index).disturbed_at = now_;
}

auto CrashFleet::SendMessages() -> void {
  for (auto& [index, router] : routers_) {
    if (router.core == nullptr) continue;
    router.core->ConfirmConfiguration(now_);
    router.core->RecordStoreSuccess(now_);
    for (auto& [message, recipients] : router.core->MakePeerMessages(now_)) {
      if (router.is_cut) continue;
      for (const auto& address : recipients) {
        const auto to = router_of_address_.at(address);
        if (routers_.at(to).is_cut) continue;
        if (random_.Uniform() < options_.message_loss) continue;
        At(kLatency, [this, to, message = message] { Deliver(to, message); });
      }
    }
  }
  At(kTick, [this] { SendMessages(); });
}

auto CrashFleet::Deliver(int to, const PeerMessage& message) -> void {
  auto& core = routers_.at(to).core;
  if (core == nullptr) return;
  if (const auto* report = std::get_if<PeerReport>(&message)) {
    core->HandleReport(*report, now_);
  } else if (const auto* summary = std::get_if<FleetSummary>(&message)) {
    core->HandleSummary(*summary, now_);
  } else if (const auto* evidence = std::get_if<PartEvidence>(&message)) {
    core->HandleEvidence(*evidence, now_);
  }
}

auto CrashFleet::ScheduleRequests(bool is_fatal) -> void {
  const auto rate =
      is_fatal ? options_.fatal_per_second : options_.requests_per_second;
  // Between half and one and a half times the mean.
  const auto gap = Scale(seconds(1), (0.5 + random_.Uniform()) / rate);
  At(gap, [this, is_fatal] {
    if (!is_fatal || fatal_requests_come_) SendRequest(is_fatal);
    ScheduleRequests(is_fatal);
  });
}

auto CrashFleet::SendRequest(bool is_fatal) -> void {
  const auto router = static_cast<int>(
      random_.Index(static_cast<std::size_t>(options_.routers)));
  auto& core = routers_.at(router).core;
  if (core == nullptr) return;
  RequestFacts facts;
  facts.host = "shop.example";
  facts.path = "/chat/";
  const auto session =
      random_.Index(static_cast<std::size_t>(options_.sessions));
  facts.prompt.parts.push_back({1, kFirstPartTokens});
  if (is_fatal) facts.prompt.parts.push_back({kFatalPart, 50});
  facts.prompt.parts.push_back({1000 + session, 100});
  facts.prompt.parts.push_back({1'000'000 + ++request_count_, 100});
  facts.prompt.prompt_tokens = kFirstPartTokens + 250;
  facts.prompt.expected_output_tokens = 100;
  facts.caller_wait = seconds(12);
  if (!is_fatal) ++service_.requests;
  auto accepted = core->Accept(facts, now_);
  auto* request = std::get_if<GatewayRequest>(&accepted);
  if (request == nullptr) return;
  Attempt attempt;
  attempt.router = router;
  attempt.incarnation = routers_.at(router).incarnation;
  attempt.request = std::make_shared<GatewayRequest>(std::move(*request));
  attempt.is_fatal = is_fatal;
  Place(std::move(attempt));
}

auto CrashFleet::IsRunning(const Attempt& attempt) const -> bool {
  const auto& router = routers_.at(attempt.router);
  return router.core != nullptr && router.incarnation == attempt.incarnation;
}

auto CrashFleet::Place(Attempt attempt) -> void {
  auto result = routers_.at(attempt.router).core->Place(*attempt.request, now_);
  auto* placement = std::get_if<Placement>(&result);
  if (placement == nullptr) return;
  attempt.placement = std::move(*placement);
  attempt.has_begun = false;
  attempt.events = 0;
  At(kLatency,
     [this, attempt = std::move(attempt)] { Reach(std::move(attempt)); });
}

auto CrashFleet::Reach(Attempt attempt) -> void {
  if (!IsRunning(attempt)) return;
  const auto id = attempt.placement.target.id;
  const auto engine = engines_.find(id);
  if (engine == engines_.end()) {
    return Fail(std::move(attempt), AttemptOutcome::kNotReached);
  }
  if (attempt.is_fatal) {
    const auto& router = routers_.at(attempt.router);
    const auto is_in_touch =
        !router.is_cut && now_ - router.disturbed_at > kContact;
    fatal_sent_.push_back({now_, is_in_touch});
  }
  const auto number = ++attempt_count_;
  engine->second.attempts[number] = std::move(attempt);
  At(Scale(kLongestQueueWait, random_.Uniform()),
     [this, id, number] { Begin(id, number); });
}

auto CrashFleet::Begin(const TargetId& id, int number) -> void {
  const auto engine = engines_.find(id);
  if (engine == engines_.end()) return;
  const auto attempt = engine->second.attempts.find(number);
  if (attempt == engine->second.attempts.end()) return;
  if (attempt->second.is_fatal && part_is_fatal_) {
    const auto delay = kShortestCrash +
                       Scale(kLongestCrash - kShortestCrash, random_.Uniform());
    At(delay, [this, id] {
      if (engines_.count(id) == 0) return;
      crashes_.push_back(now_);
      CrashEngine(id);
    });
  } else if (attempt->second.is_first && !attempt->second.is_fatal) {
    ++service_.begun;
  }
  MakeEvent(id, number);
}

auto CrashFleet::MakeEvent(const TargetId& id, int number) -> void {
  const auto engine = engines_.find(id);
  if (engine == engines_.end()) return;
  const auto found = engine->second.attempts.find(number);
  if (found == engine->second.attempts.end()) return;
  auto& attempt = found->second;
  auto& core = *routers_.at(attempt.router).core;
  core.RecordFirstToken(attempt.placement, now_);
  if (++attempt.events < kEvents) {
    return At(kEventPeriod, [this, id, number] { MakeEvent(id, number); });
  }
  core.RecordAttemptEnd(*attempt.request, attempt.placement,
                        AttemptOutcome::kComplete, now_);
  if (attempt.is_fatal) ++fatal_served_;
  engine->second.attempts.erase(found);
}

auto CrashFleet::CrashEngine(const TargetId& id) -> void {
  auto engine = std::move(engines_.at(id));
  engines_.erase(id);
  stale_rows_[id] = engine.row;
  for (auto& [number, attempt] : engine.attempts) {
    At(kLatency, [this, attempt = attempt] {
      if (IsRunning(attempt)) Fail(attempt, AttemptOutcome::kBroken);
    });
  }
  At(kRowLifetime, [this, id] {
    stale_rows_.erase(id);
    PublishTargets();
  });
  At(kRestartTime, [this] {
    AddEngine();
    PublishTargets();
  });
}

auto CrashFleet::CrashEngines(int count) -> void {
  for (int i = 0; i < count && !engines_.empty(); ++i) {
    auto engine = engines_.begin();
    std::advance(engine, random_.Index(engines_.size()));
    CrashEngine(TargetId(engine->first));
  }
}

auto CrashFleet::CheckEngine(const Attempt& attempt) -> void {
  const auto id = attempt.placement.target.id;
  if (!routers_.at(attempt.router).core->ShouldCheckTarget(id)) return;
  At(2 * kLatency, [this, attempt, id] {
    if (!IsRunning(attempt)) return;
    routers_.at(attempt.router)
        .core->RecordTargetCheck(id, engines_.count(id) != 0, now_);
  });
}

auto CrashFleet::Fail(Attempt attempt, AttemptOutcome outcome) -> void {
  auto& core = *routers_.at(attempt.router).core;
  core.RecordAttemptEnd(*attempt.request, attempt.placement, outcome, now_);
  CheckEngine(attempt);
  const auto has_events = attempt.events > 0;
  if (!core.MayRetry(*attempt.request, outcome, has_events, now_)) return;
  // An attempt that never reached its engine is still the first.
  if (outcome != AttemptOutcome::kNotReached) attempt.is_first = false;
  Place(std::move(attempt));
}

auto CrashFleet::FatalSentSince(Time time) const -> int {
  return static_cast<int>(std::count_if(
      fatal_sent_.begin(), fatal_sent_.end(),
      [time](const FatalRequest& request) { return request.sent_at > time; }));
}

auto CrashFleet::FatalSentAfterBound() const -> int {
  constexpr std::size_t kFifth = 4;
  if (crashes_.size() <= kFifth) return 0;
  const auto bound = crashes_[kFifth] + kContact;
  return static_cast<int>(std::count_if(fatal_sent_.begin(), fatal_sent_.end(),
                                        [bound](const FatalRequest& request) {
                                          return request.is_in_touch &&
                                                 request.sent_at > bound;
                                        }));
}

auto CrashFleet::CondemnedSoundParts() const -> std::size_t {
  std::set<PartId> parts;
  for (const auto& [index, router] : routers_) {
    if (router.core == nullptr) continue;
    const auto& quarantine = router.core->crash_guard().quarantine();
    for (const auto& record : quarantine.Quarantined(now_)) {
      if (record.part != kFatalPart) parts.insert(record.part);
    }
  }
  return parts.size();
}

}  // namespace papayaplank
