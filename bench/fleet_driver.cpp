// Runs events in virtual time, delivers messages, and simulates targets and
// callers.
#include "bench/fleet_driver.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kTick = milliseconds(25);
constexpr Duration kSamplePeriod = milliseconds(200);
// Time between two progress reports of an attempt.
constexpr Duration kProgressPeriod = milliseconds(500);
// The routers get a new instance list one after the other, with this delay.
constexpr Duration kInstanceListDelay = milliseconds(300);
// Time that the table service takes for a claim.
constexpr Duration kClaimDelay = milliseconds(3);
// 28 bytes of IP and UDP headers; 32 of a datagram's nonce, counter and
// authentication code.
constexpr std::size_t kDatagramOverheadBytes = 28 + 32;

auto GossipAddress(int router) -> std::string {
  return "g" + std::to_string(router);
}

auto RouterIndex(const std::string& address) -> int {
  return std::stoi(address.substr(1));
}

}  // namespace

auto UnevenCallers(int count) -> std::vector<CallerPlan> {
  std::vector<CallerPlan> callers;
  for (int i = 0; i < count; ++i) {
    CallerPlan caller;
    caller.name = "c" + std::to_string(i);
    caller.weight = i < 3 ? 4 : 1;
    caller.routers = {i % 2 == 0 ? (i / 2) % 2 : i % 8};
    callers.push_back(caller);
  }
  return callers;
}

auto InteractiveCaller() -> CallerPlan {
  CallerPlan caller;
  caller.name = "desk";
  caller.is_interactive = true;
  caller.period = milliseconds(200);
  caller.median_cost = 30;
  caller.max_cost = 100;
  caller.cost_hint = 30;
  caller.routers = {0, 1, 2, 3, 4, 5, 6, 7};
  return caller;
}

FleetDriver::FleetDriver(const FleetPlan& plan, std::vector<CallerPlan> callers)
    : plan_(plan), random_(plan.seed) {
  for (int i = 0; i < plan.targets; ++i) {
    TargetInfo target;
    target.id = TargetId("t" + std::to_string(i));
    target.data_center =
        DataCenterId("dc" + std::to_string(i % plan.data_centers));
    target.pool = PoolId("model");
    target.slots = plan.slots;
    targets_.push_back(target);
  }
  for (auto& each : callers) {
    Customer customer;
    customer.id = CustomerId(each.name);
    customer.weight = Weight{each.weight};
    customer.limits = {1e6, 1e6, 100000};
    RequestClass request_class;
    request_class.id = ClassId(each.is_interactive ? "advice" : "report");
    request_class.pool = PoolId("model");
    request_class.is_interactive = each.is_interactive;
    request_class.is_idempotent = each.is_idempotent;
    request_class.deadline = each.deadline;
    request_class.retries = 3;
    request_class.cost_hint = Cost{each.cost_hint};
    customer.classes.push_back(request_class);
    Caller caller;
    caller.plan = each;
    caller.customer = std::make_shared<const Customer>(std::move(customer));
    callers_.push_back(std::move(caller));
  }
  routers_.resize(static_cast<std::size_t>(plan.routers));
  for (int i = 0; i < plan.routers; ++i) StartRouter(i);
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    const auto count = callers_[i].plan.period > Duration::zero()
                           ? 1
                           : callers_[i].plan.concurrency;
    for (int k = 0; k < count; ++k) {
      // The routers have found each other by then.
      ScheduleAt(now_ + seconds(2) + milliseconds(k),
                 [this, i] { SendRequest(static_cast<int>(i)); });
    }
  }
  ScheduleAt(now_ + kSamplePeriod, [this] { TakeSample(); });
  ResetMeasurements();
}

auto FleetDriver::ScheduleAt(Time time, std::function<void()> run) -> void {
  events_.push({time, next_order_++, std::move(run)});
}

auto FleetDriver::Run(Duration time) -> void {
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

auto FleetDriver::RunOnRouter(int router, std::function<void()> run) -> void {
  auto& state = routers_[static_cast<std::size_t>(router)];
  if (state.is_down) return;
  if (now_ < state.paused_until) {
    state.delayed_calls.push_back(std::move(run));
    return;
  }
  run();
}

auto FleetDriver::StartRouter(int index) -> void {
  auto& router = routers_[static_cast<std::size_t>(index)];
  ++router.starts;
  router.is_down = false;
  Member self;
  self.id =
      RouterId(GossipAddress(index) + "#" + std::to_string(router.starts));
  self.gossip_address = GossipAddress(index);
  self.data_center =
      DataCenterId("dc" + std::to_string(index % plan_.data_centers));
  RouterOptions options;
  options.mode = plan_.mode;
  router.core = std::make_unique<RouterCore>(
      self, options, plan_.seed * 1000 + static_cast<std::uint64_t>(index));
  SendInstanceList(index);
  TickRouter(index, router.starts);
}

auto FleetDriver::SendInstanceList(int router) -> void {
  InstanceListReceived list;
  list.targets = targets_;
  for (int i = 0; i < std::min(plan_.routers, 8); ++i) {
    list.gossip_addresses.push_back(GossipAddress(i));
  }
  RunOnRouter(router, [this, router, list] {
    ExecuteCommands(router, Core(router).Handle(list, now_));
  });
}

auto FleetDriver::TickRouter(int index, int start) -> void {
  auto& router = routers_[static_cast<std::size_t>(index)];
  if (router.is_down || router.starts != start) return;
  if (now_ < router.paused_until) {
    ScheduleAt(router.paused_until, [this, index, start] {
      auto delayed_calls = std::exchange(
          routers_[static_cast<std::size_t>(index)].delayed_calls, {});
      for (auto& run : delayed_calls) run();
      TickRouter(index, start);
    });
    return;
  }
  ExecuteCommands(index, router.core->Tick(now_));
  ScheduleAt(now_ + kTick, [this, index, start] { TickRouter(index, start); });
}

auto FleetDriver::ExecuteCommands(int router,
                                  const RouterCore::Commands& commands)
    -> void {
  for (const auto& command : commands) {
    std::visit(
        [this, router](const auto& each) { ExecuteCommand(router, each); },
        command);
  }
}

auto FleetDriver::ExecuteCommand(int router, const StartAttempt& command)
    -> void {
  const auto open = open_requests_.find(command.id);
  if (open == open_requests_.end()) return;
  auto& caller = callers_[static_cast<std::size_t>(open->second.caller)];
  if (!open->second.is_started) {
    open->second.is_started = true;
    caller.result.waits.push_back(
        std::chrono::duration<double>(now_ - open->second.arrived_at).count());
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->start = command;
  attempt->router = router;
  attempt->router_start = routers_[static_cast<std::size_t>(router)].starts;
  attempt->cost =
      std::max(1.0, open->second.cost -
                        static_cast<double>(command.resume_after_tokens));
  attempts_[command.id] = attempt;
  if (dead_targets_.count(command.target.id) != 0) {
    ScheduleAt(now_ + plan_.network_delay, [this, attempt] {
      EndAttempt(attempt, AttemptResult::kNotReached);
    });
    ++active_requests_[command.target.id];
    return;
  }
  ++run_counts_[command.id];
  auto& active = active_requests_[command.target.id];
  ++active;
  peak_slot_usage_ =
      std::max(peak_slot_usage_, static_cast<double>(active) / plan_.slots);
  ScheduleAt(now_ + kProgressPeriod,
             [this, attempt] { AdvanceAttempt(attempt); });
}

auto FleetDriver::AdvanceAttempt(const std::shared_ptr<Attempt>& attempt)
    -> void {
  if (attempt->is_over) return;
  const auto per_period = std::chrono::duration<double>(kProgressPeriod) /
                          std::chrono::duration<double>(plan_.token_time);
  const auto more = std::min(attempt->cost - attempt->sent, per_period);
  attempt->sent += more;
  const auto open = open_requests_.find(attempt->start.id);
  if (open != open_requests_.end()) {
    callers_[static_cast<std::size_t>(open->second.caller)].result.served +=
        more;
  }
  AttemptProgress progress;
  progress.id = attempt->start.id;
  progress.attempt = attempt->start.attempt;
  progress.new_tokens = static_cast<int>(more);
  RunOnRouter(attempt->router, [this, attempt, progress] {
    ExecuteCommands(attempt->router,
                    Core(attempt->router).Handle(progress, now_));
  });
  if (attempt->sent >= attempt->cost) {
    EndAttempt(attempt, AttemptResult::kComplete);
    return;
  }
  const auto left = (attempt->cost - attempt->sent) *
                    std::chrono::duration<double>(plan_.token_time);
  const auto wait = std::min<Duration>(
      kProgressPeriod, std::chrono::duration_cast<Duration>(left));
  ScheduleAt(now_ + std::max<Duration>(wait, milliseconds(1)),
             [this, attempt] { AdvanceAttempt(attempt); });
}

auto FleetDriver::EndAttempt(const std::shared_ptr<Attempt>& attempt,
                             AttemptResult result) -> void {
  if (attempt->is_over) return;
  attempt->is_over = true;
  --active_requests_[attempt->start.target.id];
  AttemptReport report;
  report.result = result;
  report.status = result == AttemptResult::kComplete ? 200 : 0;
  report.tokens = static_cast<int>(attempt->sent);
  report.cost = Cost{attempt->sent};
  report.has_caller_seen_head = attempt->sent > 0;
  report.is_resumable = true;
  if (attempt_fault_) attempt_fault_(attempt->start, report);
  const auto router = attempt->router;
  const auto& state = routers_[static_cast<std::size_t>(router)];
  if (state.starts != attempt->router_start) return;
  const AttemptEnded ended{attempt->start.id, attempt->start.attempt, report};
  RunOnRouter(router, [this, router, ended] {
    ExecuteCommands(router, Core(router).Handle(ended, now_));
    if (ended.report.result != AttemptResult::kComplete) return;
    const auto open = open_requests_.find(ended.id);
    if (open == open_requests_.end()) return;
    ++callers_[static_cast<std::size_t>(open->second.caller)].result.completed;
    FinishRequest(ended.id);
  });
}

auto FleetDriver::ExecuteCommand(int /*router*/, const CancelAttempt& command)
    -> void {
  const auto found = attempts_.find(command.id);
  if (found == attempts_.end()) return;
  const auto attempt = found->second;
  ScheduleAt(now_ + plan_.network_delay, [this, attempt] {
    EndAttempt(attempt, AttemptResult::kCancelled);
  });
}

auto FleetDriver::ExecuteCommand(int /*router*/, const FailRequest& command)
    -> void {
  const auto open = open_requests_.find(command.id);
  if (open == open_requests_.end()) return;
  auto& result = callers_[static_cast<std::size_t>(open->second.caller)].result;
  if (command.ran == Ran::kNo && RunCount(command.id) > 0) {
    ++false_not_run_count_;
  }
  ++(command.ran == Ran::kNo ? result.failed_not_run : result.failed_unknown);
  FinishRequest(command.id);
}

auto FleetDriver::ExecuteCommand(int /*router*/, const ReplayOutcome& command)
    -> void {
  FinishRequest(command.id);
}

auto FleetDriver::ExecuteCommand(int router, const ClaimKey& command) -> void {
  ScheduleAt(now_ + kClaimDelay, [this, router, command] {
    auto& row = claims_[command.key];
    ClaimResolved resolved{command.id, ClaimResult::kInProgress, 0, ""};
    if (row.operation_id.empty() || row.state == ClaimState::kReleased) {
      row = {ClaimState::kClaimed, command.id.value(), 0, ""};
      resolved.result = ClaimResult::kGranted;
    } else if (row.state == ClaimState::kDone) {
      resolved.result = ClaimResult::kReplay;
      resolved.status = row.status;
    }
    RunOnRouter(router, [this, router, resolved] {
      ExecuteCommands(router, Core(router).Handle(resolved, now_));
    });
  });
}

auto FleetDriver::ExecuteCommand(int /*router*/, const StoreOutcome& command)
    -> void {
  claims_[command.key].state = ClaimState::kDone;
  claims_[command.key].status = 200;
}

auto FleetDriver::ExecuteCommand(int /*router*/, const ReleaseClaim& command)
    -> void {
  claims_[command.key].state = ClaimState::kReleased;
}

auto FleetDriver::ExecuteCommand(int router, const SendPeerMessage& command)
    -> void {
  ++sent_messages_;
  const auto bytes = EncodePeerMessage(command.message);
  sent_bytes_ += bytes.size() + kDatagramOverheadBytes;
  const auto to = RouterIndex(command.address);
  if (partitioned_links_.count({router, to}) != 0) return;
  if (plan_.loss > 0 && random_.Uniform() < plan_.loss) return;
  ScheduleAt(now_ + plan_.network_delay, [this, router, to, bytes] {
    RunOnRouter(to, [this, router, to, bytes] {
      auto message = DecodePeerMessage(bytes);
      ExecuteCommands(
          to, Core(to).Handle(
                  PeerMessageReceived{GossipAddress(router), ValueOf(message)},
                  now_));
    });
  });
}

auto FleetDriver::ExecuteCommand(int /*router*/,
                                 const FetchConfiguration& /*command*/)
    -> void {}

auto FleetDriver::FinishRequest(const RequestId& id) -> void {
  const auto open = open_requests_.find(id);
  if (open == open_requests_.end()) return;
  const auto caller = open->second.caller;
  open_requests_.erase(open);
  attempts_.erase(id);
  auto& state = callers_[static_cast<std::size_t>(caller)];
  --state.open_requests;
  if (state.plan.period > Duration::zero()) return;
  ScheduleAt(now_ + plan_.network_delay,
             [this, caller] { SendRequest(caller); });
}

auto FleetDriver::SendRequest(int index) -> void {
  auto& caller = callers_[static_cast<std::size_t>(index)];
  const auto& plan = caller.plan;
  const auto router = plan.routers[caller.next_router++ % plan.routers.size()];
  const RequestId id("q" + std::to_string(next_request_++));
  open_requests_[id] = {index, router, DrawCost(plan), now_, false};
  ++caller.open_requests;
  RequestArrived arrived;
  arrived.id = id;
  arrived.customer = caller.customer;
  arrived.request_class = &caller.customer->classes.front();
  arrived.pool = PoolId("model");
  if (plan.has_idempotency_keys) arrived.idempotency_key = "k" + id.value();
  if (plan.period > Duration::zero()) {
    ScheduleAt(now_ + plan.period, [this, index] { SendRequest(index); });
  }
  if (routers_[static_cast<std::size_t>(router)].is_down) {
    // The caller cannot reach its router; its next request goes to the next
    // one.
    FinishRequest(id);
    return;
  }
  RunOnRouter(router, [this, router, arrived] {
    ExecuteCommands(router, Core(router).Handle(arrived, now_));
  });
}

auto FleetDriver::DrawCost(const CallerPlan& plan) -> double {
  // Box-Muller transform.
  constexpr double kTwoPi = 6.283185307179586;
  const auto u = 1 - random_.Uniform();
  const auto normal =
      std::sqrt(-2 * std::log(u)) * std::cos(kTwoPi * random_.Uniform());
  return std::clamp(plan.median_cost * std::exp(plan.cost_sigma * normal),
                    plan.min_cost, plan.max_cost);
}

auto FleetDriver::TakeSample() -> void {
  ScheduleAt(now_ + kSamplePeriod, [this] { TakeSample(); });
  bool has_waiting = false;
  for (auto& router : routers_) {
    if (router.is_down) continue;
    for (const auto& pool : router.core->Pools()) {
      has_waiting |= pool.backlog.total() > 0;
    }
  }
  if (has_waiting) {
    for (const auto& target : targets_) {
      if (target.is_leaving || dead_targets_.count(target.id) != 0) continue;
      all_slot_samples_ += plan_.slots;
      busy_slot_samples_ += std::min(plan_.slots, active_requests_[target.id]);
    }
  }
  for (std::size_t a = 0; a < callers_.size(); ++a) {
    if (callers_[a].plan.period > Duration::zero()) continue;
    for (std::size_t b = a + 1; b < callers_.size(); ++b) {
      if (callers_[b].plan.period > Duration::zero()) continue;
      const auto difference = (callers_[a].result.served - served_before_[a]) /
                                  callers_[a].plan.weight -
                              (callers_[b].result.served - served_before_[b]) /
                                  callers_[b].plan.weight;
      auto& [lowest, highest] = service_differences_[{a, b}];
      lowest = std::min(lowest, difference);
      highest = std::max(highest, difference);
    }
  }
}

auto FleetDriver::ResetMeasurements() -> void {
  measured_from_ = now_;
  served_before_.clear();
  for (auto& caller : callers_) {
    served_before_.push_back(caller.result.served);
    caller.result.waits.clear();
  }
  service_differences_.clear();
  busy_slot_samples_ = 0;
  all_slot_samples_ = 0;
  sent_messages_ = 0;
  sent_bytes_ = 0;
  peak_slot_usage_ = 0;
}

auto FleetDriver::KillRouter(int router) -> void {
  routers_[static_cast<std::size_t>(router)].is_down = true;
  std::vector<std::shared_ptr<Attempt>> cancelled;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt->router == router && !attempt->is_over) {
      cancelled.push_back(attempt);
    }
  }
  // The router's connections close, so the targets cancel its requests.
  for (const auto& attempt : cancelled) {
    attempt->is_over = true;
    --active_requests_[attempt->start.target.id];
  }
  std::vector<RequestId> lost;
  for (const auto& [id, open] : open_requests_) {
    if (open.router == router) lost.push_back(id);
  }
  for (const auto& id : lost) FinishRequest(id);
}

auto FleetDriver::RestartRouter(int router) -> void { StartRouter(router); }

auto FleetDriver::PauseRouter(int router, Duration time) -> void {
  routers_[static_cast<std::size_t>(router)].paused_until = now_ + time;
}

auto FleetDriver::PartitionNetwork(const std::set<int>& a,
                                   const std::set<int>& b) -> void {
  for (const auto one : a) {
    for (const auto other : b) {
      partitioned_links_.insert({one, other});
      partitioned_links_.insert({other, one});
    }
  }
}

auto FleetDriver::HealNetwork() -> void { partitioned_links_.clear(); }

auto FleetDriver::MarkTargetLeaving(int target) -> void {
  targets_[static_cast<std::size_t>(target)].is_leaving = true;
  for (int i = 0; i < plan_.routers; ++i) {
    ScheduleAt(now_ + kInstanceListDelay * (i + 1),
               [this, i] { SendInstanceList(i); });
  }
}

auto FleetDriver::KillTarget(int target) -> void {
  const auto& id = targets_[static_cast<std::size_t>(target)].id;
  dead_targets_.insert(id);
  std::vector<std::shared_ptr<Attempt>> broken;
  for (const auto& [request, attempt] : attempts_) {
    if (attempt->start.target.id == id) broken.push_back(attempt);
  }
  for (const auto& attempt : broken)
    EndAttempt(attempt, AttemptResult::kBroken);
}

auto FleetDriver::SetAttemptFault(AttemptFault fault) -> void {
  attempt_fault_ = std::move(fault);
}

auto FleetDriver::FairnessGap() const -> double {
  double gap = 0;
  for (const auto& [pair, range] : service_differences_) {
    gap = std::max(gap, range.second - range.first);
  }
  return gap;
}

auto FleetDriver::Utilisation() const -> double {
  return all_slot_samples_ == 0 ? 1 : busy_slot_samples_ / all_slot_samples_;
}

auto FleetDriver::MessagesPerRouterSecond() const -> double {
  const auto time = std::chrono::duration<double>(now_ - measured_from_);
  return static_cast<double>(sent_messages_) / time.count() / plan_.routers;
}

auto FleetDriver::BytesPerRouterSecond() const -> double {
  const auto time = std::chrono::duration<double>(now_ - measured_from_);
  return static_cast<double>(sent_bytes_) / time.count() / plan_.routers;
}

auto FleetDriver::Result(int caller) const -> const CallerResult& {
  return callers_[static_cast<std::size_t>(caller)].result;
}

auto FleetDriver::PeakSlotUsage() const -> double { return peak_slot_usage_; }

auto FleetDriver::RunCount(const RequestId& id) const -> int {
  const auto found = run_counts_.find(id);
  return found == run_counts_.end() ? 0 : found->second;
}

auto FleetDriver::Core(int router) -> RouterCore& {
  return *routers_[static_cast<std::size_t>(router)].core;
}

auto FleetDriver::active_requests(int target) const -> int {
  const auto found =
      active_requests_.find(targets_[static_cast<std::size_t>(target)].id);
  return found == active_requests_.end() ? 0 : found->second;
}

}  // namespace papayaplank
