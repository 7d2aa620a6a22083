// Choice of the target and the decision whether a request is served at all.
#ifndef GATEWAY_PLACEMENT_POLICY_H_
#define GATEWAY_PLACEMENT_POLICY_H_

#include <vector>

#include "gateway/request.h"

namespace papayaplank {

// Homes of a shared part: requests that find no room at the first one go to
// the next, so that the routers read the part again at the same targets.
inline constexpr int kPreferredTargets = 3;
// Rank of a target that is none of the homes.
inline constexpr int kNotPreferred = kPreferredTargets;

// A target with what the request would meet there.
struct TargetOption {
  const TargetRow* target = nullptr;
  LoadForecast forecast;
  TokensToRead to_read;
  bool is_near = false;
  // 0 for the home of the prompt's shared parts, 1 for the second one, and so
  // on up to `kNotPreferred`.
  int preference_rank = kNotPreferred;
  bool is_cooling_down = false;
  double failure_rate = 0;
};

// What decides how long a request may wait.
struct AdmissionTerms {
  Duration objective{};
  // Time that is left until the deadline.
  Duration time_left{};
  // 1 and above: the customer has had its even share.
  double share_used = 0;
  bool is_engine = false;
};

// The option with the least expected time; null if there is none.
auto ChooseOption(const std::vector<TargetOption>& options,
                  const AdmissionTerms& terms) -> const TargetOption*;

// Whether the request is served at the option, and why or why not.
auto CheckAdmission(const TargetOption& option, const AdmissionTerms& terms)
    -> std::variant<AdmissionFacts, Refusal>;

}  // namespace papayaplank

#endif  // GATEWAY_PLACEMENT_POLICY_H_
