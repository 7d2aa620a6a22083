// The part of the core that handles what targets say of themselves, and
// permits.
#include <algorithm>

#include "gateway/gateway_core.h"

namespace papayaplank {
namespace {

// Least Retry-After of a request that finds no permit.
constexpr Duration kLeastLimitRetryAfter = milliseconds(50);
// A pause holds for the router that the target told. The others spare it for a
// moment, so that it does not have to turn each of them away.
constexpr Duration kHeardPauseCooldown = milliseconds(500);
// A target that can't be reached may return this much later than the last try,
// and is cold from then on.
constexpr Duration kColdNewsDelay = seconds(2);

}  // namespace

auto GatewayCore::RecordStatement(const Placement& placement,
                                  const TargetStatement& statement, Time now)
    -> void {
  const auto& target = placement.target;
  target_guard_.RecordLimit(target, statement, now);
  if (statement.is_pause_malformed) target_guard_.pauses().RecordMalformed();
  if (statement.pause) {
    target_guard_.RecordTargetPause(target, *statement.pause, now);
  }
  if (statement.is_leaving_malformed) target_guard_.RecordMalformedLeaving();
  if (statement.is_leaving) {
    RecordDeparture(target.id, ProcessStart(target.started_unix_ms), false);
  }
}

auto GatewayCore::ColdRate(const TargetId& target) const
    -> std::optional<RequestRate> {
  const auto* row = directory_.Find(target);
  if (row == nullptr || table_ == nullptr || !options_.cold.is_set()) {
    return std::nullopt;
  }
  const auto* service = table_->FindService(row->pool);
  if (service == nullptr || service->cold_requests_per_second <= 0) {
    return std::nullopt;
  }
  return options_.cold.PermitRate(service->cold_requests_per_second);
}

auto GatewayCore::PresumeCold(const TargetId& target, ColdCause cause, Time now)
    -> void {
  const auto* row = directory_.Find(target);
  if (row == nullptr || !ColdRate(target)) return;
  const auto* service = table_->FindService(row->pool);
  target_guard_.PresumeCold(*row, cause, service->cold_time + kColdNewsDelay,
                            now);
}

auto GatewayCore::PromiseReturn(const PoolId& pool, Time now) -> Duration {
  auto& pauses = target_guard_.pauses();
  const TargetId* earliest = nullptr;
  auto least = Duration::max();
  for (const auto& target : directory_.Serving(pool)) {
    const auto wait = pauses.TimeToSend(target.id, now);
    if (wait <= Duration{}) return Duration{};
    if (wait >= least) continue;
    least = wait;
    earliest = &target.id;
  }
  return earliest == nullptr ? Duration{}
                             : pauses.PromiseReturn(*earliest, now);
}

auto GatewayCore::RecordDeparture(const TargetId& target, ProcessStart process,
                                  bool is_from_peer) -> void {
  const auto passes_on =
      !is_from_peer || exchange_.role() == ExchangeRole::kHub;
  const auto is_news =
      target_guard_.RecordDeparture(target, process, !is_from_peer, passes_on);
  if (!is_news) return;
  directory_.RecordDeparture(target, process.value());
  departures_.push_back({target, is_from_peer});
}

auto GatewayCore::HandleStatementReport(const StatementReport& report, Time now)
    -> void {
  const auto passes_on = exchange_.role() == ExchangeRole::kHub;
  for (const auto& record : report.limits) {
    const auto known = target_of_hash_.find(record.target);
    if (known == target_of_hash_.end()) continue;
    target_guard_.Merge(known->second, record, passes_on, now);
  }
  for (const auto& record : report.departures) {
    const auto known = target_of_hash_.find(record.target);
    if (known == target_of_hash_.end()) continue;
    RecordDeparture(known->second, record.process, true);
  }
  for (const auto& record : report.pauses) {
    const auto known = target_of_hash_.find(record.target);
    if (known == target_of_hash_.end()) continue;
    const auto& target = known->second;
    if (!target_guard_.RecordHeardPause(target, record, passes_on, now)) {
      continue;
    }
    outcomes_.StartCooldown(
        target, std::min<Duration>(record.left, kHeardPauseCooldown), now);
  }
  for (const auto& record : report.cold) {
    const auto known = target_of_hash_.find(record.target);
    if (known == target_of_hash_.end()) continue;
    target_guard_.MergeCold(known->second, record, passes_on, now);
  }
  HandleEvacuations(report.evacuations, report.store_era, now);
}

auto GatewayCore::HandlePermitRequest(const PermitRequest& request, Time now)
    -> std::optional<PermitGrant> {
  const auto known = target_of_hash_.find(request.record.target);
  if (known == target_of_hash_.end()) return std::nullopt;
  return target_guard_.HandleRequest(known->second, request, now);
}

auto GatewayCore::HandlePermitGrant(const PermitGrant& grant, Time now)
    -> void {
  const auto known = target_of_hash_.find(grant.record.target);
  if (known != target_of_hash_.end()) {
    target_guard_.Merge(known->second, grant.record, false, now);
  }
  target_guard_.HandleGrant(grant, now);
}

auto GatewayCore::TakePermitRequests() -> std::vector<OutgoingMessage> {
  std::vector<OutgoingMessage> messages;
  for (auto& [owner, request] : target_guard_.TakeRequests()) {
    messages.push_back({std::move(request), {owner}});
  }
  return messages;
}

auto GatewayCore::RefuseLimited(const std::vector<TargetOption>& options,
                                const AdmissionTerms& terms, Time now)
    -> Refusal {
  auto wait = Duration::max();
  for (const auto& option : options) {
    wait = std::min(wait, target_guard_.TimeToSend(option.target->id,
                                                   terms.permit_class(), now));
  }
  const auto retry_after = std::max<Duration>(
      kLeastLimitRetryAfter, target_guard_.PromiseReturn(wait, now));
  auto refusal = Refuse(RefusalReason::kTargetLimits, retry_after);
  const auto& first = options.front();
  refusal.facts = AdmissionFacts{first.target->id, first.forecast, Duration{},
                                 terms.share_used};
  return refusal;
}

auto GatewayCore::LimitedCapacityShare(Time now) const -> double {
  if (!target_guard_.is_any_limited() && target_guard_.pauses().is_empty()) {
    return 1;
  }
  if (table_ == nullptr || mean_request_cost_ <= 0) return 1;
  const auto capacity = table_->document().fleet_tokens_per_second;
  if (capacity <= 0) return 1;
  std::vector<const TargetRow*> engines;
  double slots = 0;
  for (const auto& service : table_->document().services) {
    if (!service.engine) continue;
    for (const auto& target : directory_.Serving(service.id)) {
      engines.push_back(&target);
      slots += target.slots;
    }
  }
  if (slots <= 0) return 1;
  double left = 0;
  for (const auto* engine : engines) {
    if (target_guard_.IsPausing(engine->id, now)) continue;
    const auto share = engine->slots / slots;
    const auto limit = target_guard_.FindRate(engine->id, now);
    const auto rate = limit.value_or(RequestRate{}).per_second;
    left +=
        limit ? std::min(share, rate * mean_request_cost_ / capacity) : share;
  }
  return left;
}

}  // namespace papayaplank
