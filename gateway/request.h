// A request as the decisions see it, and what is decided about it.
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

// What a request asks of a model engine.
struct PromptFacts {
  // In the order of the prompt; the last one belongs to the request itself.
  std::vector<PromptPart> parts;
  double prompt_tokens = 0;
  // Tokens that it will probably generate, and the most that it may.
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
  // The final answer is due: the caller's deadline or the route's timeout.
  Time deadline{};
  // Targets that it was sent to.
  std::set<TargetId> tried_targets;
  // Sends that reached a target or may have.
  int attempts = 0;
};

// Why a router answers a request itself.
enum class RefusalReason {
  kNoConfiguration,  // No version is known yet.
  kKeyUnconfirmed,   // Keys were not confirmed lately.
  kNoRoute,          // No route matches.
  kUnknownKey,       // The key is missing or belongs to nobody.
  kNoTarget,         // No target serves the pool.
  kOverShare,        // The customer has had its share and room is short.
  kNoRoom,           // No target would answer in time.
  kRouterBusy,       // The processor of the router is saturated.
  kLeaving,          // The router stops before the request could end.
  kDeadline,         // The time was up before it was sent.
  kNotExecuted,      // Targets refused it before it ran.
  kTargetFailed,     // It was sent and failed; it may have run.
  kTimeout,          // It was sent and did not end in time.
};

// Name of a reason, as it stands in logs and metrics.
auto RefusalName(RefusalReason reason) -> std::string_view;
// HTTP status of an answer. 429 and 503 say that the request has not run.
auto RefusalStatus(RefusalReason reason) -> int;

// What a decision about admission rested on, for the log.
struct AdmissionFacts {
  // The target that would answer first.
  TargetId target;
  // What the request would meet there.
  LoadForecast forecast;
  // Longest wait that the objective and the use of the share allow.
  Duration longest_wait{};
  // 1 and above: the customer has had its even share.
  double share_used = 0;
};

// An answer of the router's own.
struct Refusal {
  RefusalReason reason = RefusalReason::kNoRoom;
  // When to come back; zero means that no time is named.
  Duration retry_after{};
  // Set if targets were weighed.
  std::optional<AdmissionFacts> facts{};
};

// A target that the request goes to.
struct Placement {
  TargetRow target;
  AttemptId attempt;
  AdmissionFacts facts;
  // Prompt tokens that the target probably has to read.
  double tokens_to_read = 0;
};

using PlacementResult = std::variant<Placement, Refusal>;

// How a send ended.
enum class AttemptOutcome {
  kComplete,     // The whole answer arrived.
  kServerError,  // A whole answer that says that the target failed.
  kNotExecuted,  // The target said that it did not run.
  kWrongTarget,  // Another target has the address; it did not run.
  kNotReached,   // No connection; no byte was sent.
  kBroken,       // The connection or the answer broke; it may have run.
  kCancelled,    // The caller left, or the time was up.
};

// Name of an outcome, as it stands in logs and metrics.
auto AttemptOutcomeName(AttemptOutcome outcome) -> std::string_view;

// Whether a request surely has not run after a send that ended so.
auto HasSurelyNotRun(AttemptOutcome outcome) -> bool;

}  // namespace papayaplank

#endif  // GATEWAY_REQUEST_H_
