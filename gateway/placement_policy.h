// Chooses the target of a request and decides whether the request is admitted.
#ifndef GATEWAY_PLACEMENT_POLICY_H_
#define GATEWAY_PLACEMENT_POLICY_H_

#include <vector>

#include "gateway/request.h"
#include "gateway/target_guard.h"

namespace papayaplank {

// Number of preferred targets of a shared prompt part (cache affinity). All
// routers send requests that exceed the capacity of the first one to the next,
// so the part is read again at few targets only.
inline constexpr int kPreferredTargets = 3;
// Rank of a target that is not preferred.
inline constexpr int kNotPreferred = kPreferredTargets;

// A target and the conditions that the request would find there.
struct TargetOption {
  const TargetRow* target = nullptr;
  LoadForecast forecast;
  // Prompt tokens that are not in the target's cache.
  TokensToRead to_read;
  // In the data centre of this router.
  bool is_near = false;
  // 0 for the first preferred target of the prompt's shared parts, 1 for the
  // second, and so on; `kNotPreferred` for all others.
  int preference_rank = kNotPreferred;
  bool is_cooling_down = false;
  // Expected share of failures, 0 to 1.
  double failure_rate = 0;
  Permission permission = Permission::kNotNeeded;
  // Nobody has heard for long whether its limit still holds, and this router
  // has no request there that would tell.
  bool is_limit_stale = false;
};

// Properties of a request that limit its wait.
struct AdmissionTerms {
  // Latency objective: time to the first event, or to the complete answer. An
  // answer within it has its full value.
  Duration objective{};
  // Time until the deadline.
  Duration time_left{};
  // Service of the customer divided by its fair share; above 1 it has had more.
  // 0 while capacity covers all demand.
  double share_used = 0;
  // The request has prompt tokens, so a model engine executes it.
  bool is_engine = false;

  auto permit_class() const -> PermitClass {
    return share_used >= 1 ? PermitClass::kOverShare
                           : PermitClass::kWithinShare;
  }
};

// The option with the least expected time of those that may have a permit or
// need none; null if there is none.
auto ChooseOption(const std::vector<TargetOption>& options,
                  const AdmissionTerms& terms) -> const TargetOption*;

// Admits or refuses the request at the option, with the values behind the
// decision.
auto CheckAdmission(const TargetOption& option, const AdmissionTerms& terms)
    -> std::variant<AdmissionFacts, Refusal>;

}  // namespace papayaplank

#endif  // GATEWAY_PLACEMENT_POLICY_H_
