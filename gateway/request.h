// A request, as far as the decisions need it, and the results of decisions.
#ifndef GATEWAY_REQUEST_H_
#define GATEWAY_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "routing/routing.h"

namespace papayaplank {

// Prompt and output of a request to a model engine, as stated by the caller.
struct PromptFacts {
  // In the order of the prompt; the last one belongs to the request itself.
  std::vector<PromptPart> parts;
  double prompt_tokens = 0;
  // Tokens that the engine will probably generate, and the most that it may;
  // zero if not stated.
  double expected_output_tokens = 0;
  double max_output_tokens = 0;
};

// An accepted request.
struct GatewayRequest {
  // Keeps `route` alive.
  std::shared_ptr<const RoutingTable> table;
  const Route* route = nullptr;
  PoolId pool;
  // Empty on public routes.
  CustomerId customer;
  PromptFacts prompt;
  Time arrived_at{};
  // When the complete answer is due: at the caller's deadline or the route's
  // timeout, whichever is earlier.
  Time deadline{};
  // Targets of all attempts so far.
  std::set<TargetId> tried_targets;
  // Attempts so far, whatever their outcome.
  int attempts = 0;
  // Permits that were asked for and have not come, for the next attempt.
  int permit_requests = 0;
};

// Why the router itself answers a request with an error.
enum class RefusalReason {
  kNoConfiguration,  // The router has no configuration yet.
  kKeyUnconfirmed,   // The configuration was not confirmed lately.
  // It lacks the route or key, and was not confirmed lately enough to say so.
  kConfigurationUnconfirmed,
  kNoRoute,          // No route matches.
  kUnknownKey,       // The key is missing or belongs to nobody.
  kNoTarget,         // No target serves the pool.
  kOverShare,        // Capacity is short; the customer used up its share.
  kNoRoom,           // The best target would be late, is full or lacks memory.
  kTargetLimits,     // The limits of all targets are used up.
  kTargetsPaused,    // All targets asked this router for a pause.
  kQuarantinedPart,  // A part of the prompt has crashed targets.
  kRouterMemory,     // The memory of the router is full of requests.
  kRouterBusy,       // The processor of the router is saturated.
  kLeaving,          // The router stops before the request could end.
  kDeadline,         // The deadline passed before it was sent.
  kNotExecuted,      // Targets refused it before executing it.
  kTargetFailed,     // An attempt failed; the request may have run.
  kTimeout,          // An attempt did not end in time.
  kStopped,          // The router ended while an attempt was running.
};

// Name of a reason, as it stands in logs and metrics.
auto RefusalName(RefusalReason reason) -> std::string_view;
// HTTP status of the answer. 429 and 503 mean that the request has not run.
auto RefusalStatus(RefusalReason reason) -> int;
// Whether the status promises that the request has not run. The answer of a
// target that ran it must not reach the caller with such a status.
auto PromisesNotRun(int status) -> bool;

// The values behind an admission decision, for the log.
struct AdmissionFacts {
  // The target with the least expected time, penalties included.
  TargetId target;
  // Conditions that the request would find there.
  LoadForecast forecast;
  // Longest wait that the objective and the customer's use of its share allow.
  Duration longest_wait{};
  // Service of the customer divided by its fair share; above 1 it has had more.
  double share_used = 0;
};

// An error answer by the router itself.
struct Refusal {
  RefusalReason reason = RefusalReason::kNoRoom;
  // Time after which the caller may retry; zero means that the answer names
  // none.
  Duration retry_after{};
  // Set if a target was considered.
  std::optional<AdmissionFacts> facts{};
  // The quarantined part, if that is the reason.
  std::optional<PartId> part{};
};

// The target that an attempt goes to.
struct Placement {
  TargetRow target;
  AttemptId attempt;
  AdmissionFacts facts;
  // Prompt tokens that the target probably has to read.
  double tokens_to_read = 0;
};

// The best target names a limit, and its owner was asked for a permit. The
// request is to be placed again when the reply has come, or no later than
// after `timeout`.
struct PermitWait {
  PermitNonce nonce;
  Duration timeout{};
};

using PlacementResult = std::variant<Placement, Refusal, PermitWait>;

// How an attempt ended.
enum class AttemptOutcome {
  kComplete,     // The complete answer arrived.
  kServerError,  // The complete answer reports an error of the target.
  kNotExecuted,  // The target refused it without executing it.
  kWrongTarget,  // Another target has the address; the request did not run.
  kNotReached,   // No connection was made; no byte was sent.
  kBroken,       // The connection or the answer broke off; it may have run.
  kCancelled,    // The caller left, or the deadline passed.
};

// Name of an outcome, as it stands in logs and metrics.
auto AttemptOutcomeName(AttemptOutcome outcome) -> std::string_view;

// Whether the request surely has not run if an attempt ended this way.
auto HasSurelyNotRun(AttemptOutcome outcome) -> bool;

}  // namespace papayaplank

#endif  // GATEWAY_REQUEST_H_
