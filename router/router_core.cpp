// Life of a request: admission, queueing, attempts, retries and its end.
#include "router/router_core.h"

#include <algorithm>
#include <utility>

namespace papayaplank {
namespace {

// Prefixes whose newest target is remembered.
constexpr std::size_t kAffinityCapacity = 65536;
constexpr Duration kDefaultRetryAfter = seconds(1);
// Starts per second below which no wait is predicted.
constexpr double kMinStartRate = 0.01;
// A request is rejected only if its expected wait exceeds its time to the
// deadline by this factor, since estimated costs are rough.
constexpr double kWaitToleranceFactor = 2;

}  // namespace

auto FailReasonName(FailReason reason) -> std::string_view {
  switch (reason) {
    case FailReason::kRateLimited:
      return "rate_limited";
    case FailReason::kQueueFull:
      return "queue_full";
    case FailReason::kShed:
      return "shed";
    case FailReason::kDeadline:
      return "deadline";
    case FailReason::kNoTarget:
      return "no_target";
    case FailReason::kTargetFailed:
      return "target_failed";
    case FailReason::kTableUnavailable:
      return "table_unavailable";
    case FailReason::kOutcomeUnknown:
      return "outcome_unknown";
    case FailReason::kStopping:
      return "stopping";
    case FailReason::kStopped:
      return "stopped";
  }
  return "unknown";
}

auto FailStatus(FailReason reason) -> int {
  switch (reason) {
    case FailReason::kRateLimited:
    case FailReason::kQueueFull:
    case FailReason::kShed:
      return 429;
    case FailReason::kDeadline:
    case FailReason::kStopped:
      return 504;
    case FailReason::kNoTarget:
    case FailReason::kTableUnavailable:
    case FailReason::kStopping:
      return 503;
    case FailReason::kTargetFailed:
      return 502;
    case FailReason::kOutcomeUnknown:
      return 409;
  }
  return 500;
}

RouterCore::RouterCore(const Member& self, RouterOptions options,
                       std::uint64_t seed)
    : options_(options),
      random_(seed),
      members_(self, options.membership, seed + 1),
      fleet_(self.id),
      owner_(self.id, options.lease, options.objective),
      borrower_(self.id, options.lease),
      accounts_(self.id),
      retry_budget_(options.retry_share, options.retry_reserve),
      affinity_(kAffinityCapacity) {}

auto RouterCore::Handle(const CoreInput& input, Time now) -> Commands {
  HandlePause(now);
  std::visit([this, now](const auto& message) { HandleInput(message, now); },
             input);
  return std::exchange(commands_, {});
}

auto RouterCore::FindOrAddPool(const PoolId& id) -> Pool& {
  return pools_.try_emplace(id, options_.catch_up_limit).first->second;
}

auto RouterCore::HandleInput(const RequestArrived& message, Time now) -> void {
  if (!Admit(message, now)) return;
  ++counters_.admitted;
  auto& request = requests_[message.id];
  request.arrival = message;
  request.arrived_at = now;
  request.deadline = now + message.request_class->deadline;
  retry_budget_.RecordFirstAttempt(message.customer->id.value());
  if (message.idempotency_key.empty()) {
    Enqueue(request);
    DispatchWaiting(message.pool, now);
    return;
  }
  request.stage = Stage::kClaiming;
  commands_.push_back(ClaimKey{message.id, message.idempotency_key});
}

auto RouterCore::FitsStop(const RequestArrived& message, Time now) const
    -> bool {
  return !stop_ || (now < stop_->admits_until &&
                    now + message.request_class->deadline <= stop_->ends_at);
}

auto RouterCore::Admit(const RequestArrived& message, Time now) -> bool {
  if (!FitsStop(message, now)) {
    // Another router takes it at once.
    Reject(message.id, FailReason::kStopping, {});
    return false;
  }
  const auto& customer = *message.customer;
  const auto admission = rate_limiter_.Admit(customer, now);
  if (!admission.is_admitted) {
    Reject(message.id, FailReason::kRateLimited, admission.retry_after);
    return false;
  }
  if (!fleet_.HasPool(message.pool)) {
    Reject(message.id, FailReason::kNoTarget, kDefaultRetryAfter);
    return false;
  }
  auto& pool = FindOrAddPool(message.pool);
  const auto wait = ExpectedWait(pool, customer);
  if (pool.queue.QueuedCount(customer.id) >= customer.limits.queued_requests) {
    Reject(message.id, FailReason::kQueueFull,
           std::max(wait, kDefaultRetryAfter));
    return false;
  }
  const auto limit = message.request_class->deadline * kWaitToleranceFactor;
  if (wait > limit) {
    Reject(message.id, FailReason::kDeadline, wait);
    return false;
  }
  if (requests_.size() >= options_.max_open_requests) ShedOne(pool);
  if (requests_.size() >= options_.max_open_requests) {
    Reject(message.id, FailReason::kShed, kDefaultRetryAfter);
    return false;
  }
  return true;
}

auto RouterCore::ExpectedWait(const Pool& pool, const Customer& customer) const
    -> Duration {
  const auto backlog = pool.queue.backlog();
  if (backlog.total() == 0 || pool.start_rate < kMinStartRate) return {};
  const auto weight = customer.weight.value;
  const auto share = weight / std::max(weight, backlog.weight);
  const auto queued = pool.queue.QueuedCount(customer.id);
  const auto wait = queued / (pool.start_rate * share);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

auto RouterCore::ShedOne(Pool& pool) -> void {
  const auto candidate = pool.queue.ShedCandidate();
  if (!candidate) return;
  auto& request = requests_.at(*candidate);
  pool.queue.Remove(*candidate);
  Fail(request, FailReason::kShed, kDefaultRetryAfter);
}

auto RouterCore::Enqueue(Request& request) -> void {
  const auto& arrival = request.arrival;
  const auto& customer = *arrival.customer;
  request.stage = Stage::kWaiting;
  QueuedRequest queued;
  queued.id = arrival.id;
  queued.customer = customer.id;
  queued.weight = customer.weight;
  queued.is_interactive = arrival.request_class->is_interactive;
  queued.estimate = estimator_.Estimate(customer.id, arrival.request_class->id,
                                        arrival.request_class->cost_hint);
  queued.queued_at = request.arrived_at;
  queued.deadline = request.deadline;
  if (options_.mode == SharingMode::kFifo) {
    // A single account for all customers makes the queue first come, first
    // served.
    queued.customer = CustomerId("everyone");
    queued.weight = Weight{1};
    queued.is_interactive = false;
  }
  auto& pool = FindOrAddPool(arrival.pool);
  FollowFleetVirtualTime(arrival.pool, pool);
  pool.queue.Push(std::move(queued));
}

auto RouterCore::Reject(const RequestId& id, FailReason reason,
                        Duration retry_after) -> void {
  ++counters_.failed;
  commands_.push_back(FailRequest{id, reason, Ran::kNo, retry_after});
}

auto RouterCore::Fail(Request& request, FailReason reason, Duration retry_after)
    -> void {
  const auto id = request.arrival.id;
  const auto ran = request.ran;
  ++counters_.failed;
  if (request.has_claim && ran == Ran::kNo) {
    commands_.push_back(ReleaseClaim{id, request.arrival.idempotency_key});
  }
  if (!request.is_caller_gone) {
    commands_.push_back(FailRequest{id, reason, ran, retry_after});
  }
  requests_.erase(id);
}

auto RouterCore::HandleInput(const RequestCancelled& message, Time /*now*/)
    -> void {
  const auto found = requests_.find(message.id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  ++counters_.cancelled;
  // `Fail` sends no answer from now on, so its reason does not matter.
  request.is_caller_gone = true;
  switch (request.stage) {
    case Stage::kClaiming:
      // `ClaimResolved` ends the request.
      return;
    case Stage::kWaiting:
      FindOrAddPool(request.arrival.pool).queue.Remove(message.id);
      Fail(request, FailReason::kDeadline, {});
      return;
    case Stage::kDelayed:
      Fail(request, FailReason::kDeadline, {});
      return;
    case Stage::kRunning:
      // A claimed request runs to its end, so that its outcome can be stored.
      if (request.has_claim) return;
      commands_.push_back(CancelAttempt{message.id, request.attempts});
      return;
  }
}

auto RouterCore::HandleInput(const ClaimResolved& message, Time now) -> void {
  const auto found = requests_.find(message.id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  if (message.result == ClaimResult::kUnavailable) {
    return Fail(request, FailReason::kTableUnavailable, kDefaultRetryAfter);
  }
  if (message.result == ClaimResult::kInProgress) {
    request.ran = Ran::kUnknown;
    return Fail(request, FailReason::kOutcomeUnknown, kDefaultRetryAfter);
  }
  if (message.result == ClaimResult::kReplay) {
    commands_.push_back(
        ReplayOutcome{message.id, message.status, message.body});
    requests_.erase(found);
    return;
  }
  request.has_claim = true;
  if (request.is_caller_gone || now >= request.deadline) {
    return Fail(request, FailReason::kDeadline, {});
  }
  const auto pool = request.arrival.pool;
  Enqueue(request);
  DispatchWaiting(pool, now);
}

auto RouterCore::HandleInput(const AttemptProgress& message, Time /*now*/)
    -> void {
  const auto found = requests_.find(message.id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  if (request.attempts != message.attempt) return;
  request.tokens += message.new_tokens;
  request.attempt_tokens += message.new_tokens;
  if (message.new_tokens > 0) request.ran = Ran::kYes;
  owner_.Observe(request.target, message.latency);
  // Tokens beyond the estimate are charged as they arrive.
  const auto served = static_cast<double>(request.attempt_tokens);
  const auto charged = request.charged.units + request.progress_charged.units;
  if (served <= charged) return;
  const Cost more{served - charged};
  request.progress_charged.units += more.units;
  const auto& customer = *request.arrival.customer;
  FindOrAddPool(request.arrival.pool)
      .queue.Charge(customer.id, customer.weight, more);
  accounts_.AddLocal(customer.id, request.arrival.pool, customer.weight, more);
}

auto RouterCore::HandleInput(const AttemptEnded& message, Time now) -> void {
  const auto found = requests_.find(message.id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  if (request.stage != Stage::kRunning) return;
  if (request.attempts != message.attempt) return;
  const auto pool = request.arrival.pool;
  const auto target = request.target;
  const auto& report = message.report;
  health_.RecordEnd(target, report.result, report.status, now);
  ReleaseSlot(request);
  SettleCharge(request, report.cost);
  if (report.result == AttemptResult::kComplete) {
    affinity_.RecordStored(request.arrival.prefix, target);
    Complete(request, report);
  } else {
    RetryOrFail(request, report, now);
  }
  DispatchWaiting(pool, now);
}

auto RouterCore::Complete(Request& request, const AttemptReport& report)
    -> void {
  const auto& arrival = request.arrival;
  ++counters_.completed;
  estimator_.RecordCost(arrival.customer->id, arrival.request_class->id,
                        report.cost);
  if (request.has_claim) {
    commands_.push_back(StoreOutcome{arrival.id, arrival.idempotency_key});
  }
  requests_.erase(arrival.id);
}

auto RouterCore::ReleaseSlot(Request& request) -> void {
  --FindOrAddPool(request.arrival.pool).running;
  if (request.is_own_slot) {
    owner_.Release(request.target, request.is_headroom);
  } else {
    borrower_.Release(request.target, request.is_headroom);
  }
}

auto RouterCore::SettleCharge(Request& request, Cost actual) -> void {
  const auto& customer = *request.arrival.customer;
  const auto charged = request.charged.units + request.progress_charged.units;
  const Cost correction{actual.units - charged};
  if (options_.mode != SharingMode::kFifo) {
    FindOrAddPool(request.arrival.pool)
        .queue.Charge(customer.id, customer.weight, correction);
  }
  accounts_.AddLocal(customer.id, request.arrival.pool, customer.weight,
                     correction);
  request.charged = {};
  request.progress_charged = {};
}

auto RouterCore::RetryOrFail(Request& request, const AttemptReport& report,
                             Time now) -> void {
  const auto& arrival = request.arrival;
  request.ran = std::max(request.ran, RanAfter(report.result));
  if (request.is_caller_gone) {
    return Fail(request, FailReason::kTargetFailed, {});
  }
  if (request.is_preempted) {
    request.is_preempted = false;
    Enqueue(request);
    return;
  }
  request.failed_targets.insert(request.target);
  RetryContext context;
  context.report = report;
  context.is_idempotent = arrival.request_class->is_idempotent;
  context.attempts = request.attempts;
  context.max_attempts = 1 + arrival.request_class->retries;
  context.now = now;
  context.deadline = request.deadline;
  const auto may_retry = IsRetryAllowed(context) &&
                         retry_budget_.TrySpend(arrival.customer->id.value(),
                                                request.target.value());
  if (!may_retry) {
    return Fail(request, FailReason::kTargetFailed, kDefaultRetryAfter);
  }
  ++counters_.retries;
  if (report.has_caller_seen_head) ++counters_.resumed;
  request.stage = Stage::kDelayed;
  const auto delay = RetryDelay(request.attempts, random_);
  delayed_.emplace(now + delay, arrival.id);
}

auto RouterCore::RequeueDelayed(Time now) -> void {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    const auto id = delayed_.begin()->second;
    delayed_.erase(delayed_.begin());
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    Enqueue(found->second);
  }
}

auto RouterCore::ExpireWaiting(Time now) -> void {
  for (auto& [id, pool] : pools_) {
    for (const auto& expired : pool.queue.RemoveExpired(now)) {
      const auto found = requests_.find(expired.id);
      if (found == requests_.end()) continue;
      Fail(found->second, FailReason::kDeadline,
           ExpectedWait(pool, *found->second.arrival.customer));
    }
  }
}

auto RouterCore::MakeLocalDemand(const Pool& pool) const -> LocalDemand {
  // `HasWork(false)` is true for waiting requests of either kind.
  return {pool.queue.HasWork(true), pool.queue.HasWork(false),
          pool.queue.virtual_time()};
}

auto RouterCore::DispatchWaiting(const PoolId& pool_id, Time now) -> void {
  auto& pool = FindOrAddPool(pool_id);
  do {
    if (options_.mode == SharingMode::kFleet) {
      SendUpdates(owner_.Lend(pool_id, MakeLocalDemand(pool), now));
    }
  } while (StartNext(pool_id, pool, now));
  if (pool.queue.HasWork(false)) return;
  WithdrawDemand(pool_id, pool, now);
}

auto RouterCore::StartNext(const PoolId& pool_id, Pool& pool, Time now)
    -> bool {
  for (const auto headroom : {false, true}) {
    if (!pool.queue.HasWork(headroom)) continue;
    auto queued = pool.queue.Pop(headroom);
    auto& request = requests_.at(queued->id);
    const auto target = AcquireSlot(pool_id, request, headroom, now);
    if (!target) {
      pool.queue.PutBack(std::move(*queued));
      continue;
    }
    request.target = *target;
    request.is_headroom = headroom;
    StartRequest(request, pool, *queued, now);
    return true;
  }
  return false;
}

auto RouterCore::IsTargetUsable(const TargetInfo& target, Time now) const
    -> bool {
  return !target.is_leaving && health_.IsUsable(target.id, now);
}

auto RouterCore::FindCandidates(const PoolId& pool_id, const Request& request,
                                bool headroom, Time now) const
    -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (const auto& id : fleet_.PoolTargets(pool_id)) {
    const auto* target = fleet_.FindTarget(id);
    if (!IsTargetUsable(*target, now)) continue;
    const auto free = owner_.IsOwned(id) ? owner_.FreeSlots(id)
                                         : borrower_.FreeSlots(id, now);
    const auto count = headroom ? free.headroom : free.shared;
    if (count <= 0) continue;
    candidates.push_back({id,
                          target->data_center == members_.self().data_center,
                          count, request.failed_targets.count(id) != 0});
  }
  return candidates;
}

auto RouterCore::AcquireSlot(const PoolId& pool_id, const Request& request,
                             bool headroom, Time now)
    -> std::optional<TargetId> {
  auto target = ChooseTarget(FindCandidates(pool_id, request, headroom, now),
                             request.arrival.prefix, affinity_);
  if (!target) return std::nullopt;
  const auto is_taken = owner_.IsOwned(*target)
                            ? owner_.TryAcquire(*target, headroom)
                            : borrower_.TryAcquire(*target, headroom, now);
  if (!is_taken) return std::nullopt;
  return target;
}

auto RouterCore::StartRequest(Request& request, Pool& pool,
                              const QueuedRequest& queued, Time now) -> void {
  const auto& arrival = request.arrival;
  const auto& customer = *arrival.customer;
  request.stage = Stage::kRunning;
  request.is_own_slot = owner_.IsOwned(request.target);
  request.charged = queued.estimate;
  request.attempt_tokens = 0;
  request.started_at = now;
  ++request.attempts;
  ++counters_.started;
  ++pool.running;
  ++pool.starts;
  constexpr double kSmoothing = 0.05;
  pool.mean_estimate +=
      kSmoothing * (queued.estimate.units - pool.mean_estimate);
  health_.RecordStart(request.target, now);
  if (request.attempts == 1) {
    retry_budget_.RecordFirstAttempt(request.target.value());
  }
  accounts_.AddLocal(customer.id, arrival.pool, customer.weight,
                     queued.estimate);
  const auto is_single_use_connection =
      !arrival.request_class->is_idempotent || request.attempts > 1;
  commands_.push_back(StartAttempt{arrival.id, request.attempts,
                                   *fleet_.FindTarget(request.target),
                                   request.tokens, is_single_use_connection});
}

auto RouterCore::PreemptBatchStream(Time now) -> void {
  for (auto& [pool_id, pool] : pools_) {
    if (!pool.queue.HasWork(true)) continue;
    Request* longest = nullptr;
    bool has_overdue = false;
    for (auto& [id, request] : requests_) {
      if (request.arrival.pool != pool_id) continue;
      const auto& request_class = *request.arrival.request_class;
      if (request.stage == Stage::kWaiting && request_class.is_interactive) {
        has_overdue |= now - request.arrived_at > options_.preempt_after;
      }
      if (request.stage != Stage::kRunning || request.is_preempted) continue;
      if (request_class.is_interactive || !request_class.is_idempotent) {
        continue;
      }
      if (request.tokens == 0 || request.is_headroom) continue;
      const auto is_longer =
          longest == nullptr || request.started_at < longest->started_at;
      if (is_longer) longest = &request;
    }
    if (!has_overdue || longest == nullptr) continue;
    longest->is_preempted = true;
    ++counters_.preempted;
    commands_.push_back(CancelAttempt{longest->arrival.id, longest->attempts});
  }
}

auto RouterCore::Tick(Time now) -> Commands {
  HandlePause(now);
  SendMembership(members_.Tick(now));
  RefreshOwnership();
  DropDeadRouters();
  owner_.Expire(now);
  owner_.AdjustLimits(now);
  ExpireWaiting(now);
  RequeueDelayed(now);
  if (now >= next_rates_) {
    constexpr double kSmoothing = 0.3;
    next_rates_ = now + seconds(1);
    for (auto& [id, pool] : pools_) {
      pool.start_rate += kSmoothing * (pool.starts - pool.start_rate);
      pool.starts = 0;
    }
    PreemptBatchStream(now);
  }
  for (auto& [id, pool] : pools_) DispatchWaiting(id, now);
  if (options_.mode == SharingMode::kFleet) {
    SendDemands(now);
    SendReports(now);
    SendGossip(now);
    SendAccounts(now);
  }
  FetchNewerConfig();
  return std::exchange(commands_, {});
}

}  // namespace papayaplank
