// Names and HTTP statuses of refusals, and names of attempt outcomes.
#include "gateway/request.h"

#include <algorithm>
#include <array>

namespace papayaplank {

auto RefusalName(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kKeyUnconfirmed:
      return "key_unconfirmed";
    case RefusalReason::kConfigurationUnconfirmed:
      return "configuration_unconfirmed";
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
    case RefusalReason::kTargetLimits:
      return "target_limits";
    case RefusalReason::kTargetsPaused:
      return "targets_paused";
    case RefusalReason::kQuarantinedPart:
      return "quarantined_part";
    case RefusalReason::kRouterMemory:
      return "router_memory";
    case RefusalReason::kRouterBusy:
      return "router_busy";
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
    case RefusalReason::kStopped:
      return "stopped";
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
    case RefusalReason::kStopped:
      return 504;
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kKeyUnconfirmed:
    case RefusalReason::kConfigurationUnconfirmed:
    case RefusalReason::kNoTarget:
    case RefusalReason::kNoRoom:
    case RefusalReason::kTargetLimits:
    case RefusalReason::kTargetsPaused:
    case RefusalReason::kQuarantinedPart:
    case RefusalReason::kRouterMemory:
    case RefusalReason::kRouterBusy:
    case RefusalReason::kLeaving:
    case RefusalReason::kDeadline:
    case RefusalReason::kNotExecuted:
      return 503;
  }
  return 503;
}

auto PromisesNotRun(int status) -> bool {
  constexpr std::array kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) !=
         kStatuses.end();
}

auto AttemptOutcomeName(AttemptOutcome outcome) -> std::string_view {
  switch (outcome) {
    case AttemptOutcome::kComplete:
      return "complete";
    case AttemptOutcome::kServerError:
      return "server_error";
    case AttemptOutcome::kNotExecuted:
      return "not_executed";
    case AttemptOutcome::kWrongTarget:
      return "wrong_target";
    case AttemptOutcome::kNotReached:
      return "not_reached";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

auto HasSurelyNotRun(AttemptOutcome outcome) -> bool {
  return outcome == AttemptOutcome::kNotExecuted ||
         outcome == AttemptOutcome::kWrongTarget ||
         outcome == AttemptOutcome::kNotReached;
}

}  // namespace papayaplank
