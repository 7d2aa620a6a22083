// The part of the core that handles limits of targets and permits.
#include <algorithm>

#include "gateway/gateway_core.h"

namespace papayaplank {
namespace {

// Least Retry-After of a request that finds no permit.
constexpr Duration kLeastLimitRetryAfter = milliseconds(50);

}  // namespace

auto GatewayCore::RecordLimit(const Placement& placement,
                              std::optional<RequestRate> limit, Time now)
    -> void {
  limit_guard_.RecordAnswer(placement.target, limit, now);
}

auto GatewayCore::HandleLimitReport(const LimitReport& report, Time now)
    -> void {
  const auto passes_on = exchange_.role() == ExchangeRole::kHub;
  for (const auto& record : report.records) {
    const auto known = target_of_hash_.find(record.target);
    if (known == target_of_hash_.end()) continue;
    limit_guard_.Merge(known->second, record, passes_on, now);
  }
}

auto GatewayCore::HandlePermitRequest(const PermitRequest& request, Time now)
    -> std::optional<PermitGrant> {
  const auto known = target_of_hash_.find(request.record.target);
  if (known == target_of_hash_.end()) return std::nullopt;
  return limit_guard_.HandleRequest(known->second, request, now);
}

auto GatewayCore::HandlePermitGrant(const PermitGrant& grant, Time now)
    -> void {
  const auto known = target_of_hash_.find(grant.record.target);
  if (known != target_of_hash_.end()) {
    limit_guard_.Merge(known->second, grant.record, false, now);
  }
  limit_guard_.HandleGrant(grant, now);
}

auto GatewayCore::TakePermitRequests() -> std::vector<OutgoingMessage> {
  std::vector<OutgoingMessage> messages;
  for (auto& [owner, request] : limit_guard_.TakeRequests()) {
    messages.push_back({std::move(request), {owner}});
  }
  return messages;
}

auto GatewayCore::RefuseLimited(const std::vector<TargetOption>& options,
                                const AdmissionTerms& terms, Time now)
    -> Refusal {
  auto wait = Duration::max();
  for (const auto& option : options) {
    wait = std::min(wait, limit_guard_.TimeToAsk(option.target->id,
                                                 terms.permit_class(), now));
  }
  const auto retry_after = std::max<Duration>(
      kLeastLimitRetryAfter, limit_guard_.PromiseReturn(wait, now));
  auto refusal = Refuse(RefusalReason::kTargetLimits, retry_after);
  const auto& first = options.front();
  refusal.facts = AdmissionFacts{first.target->id, first.forecast, Duration{},
                                 terms.share_used};
  return refusal;
}

auto GatewayCore::LimitedCapacityShare() const -> double {
  if (!limit_guard_.is_any_limited()) return 1;
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
    const auto share = engine->slots / slots;
    const auto limit = limit_guard_.limits().Find(engine->id);
    const auto rate = limit.value_or(RequestRate{}).per_second;
    left +=
        limit ? std::min(share, rate * mean_request_cost_ / capacity) : share;
  }
  return left;
}

}  // namespace papayaplank
