// Messages into and commands out of the router core.
#ifndef ROUTER_CORE_MESSAGES_H_
#define ROUTER_CORE_MESSAGES_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config/config.h"
#include "dispatch/dispatch.h"
#include "placement/placement.h"
#include "router/peer_messages.h"

namespace papayaplank {

// Why a request is answered by the router itself.
enum class FailReason {
  kRateLimited,       // The customer's request rate is above its limit.
  kQueueFull,         // Too many requests of the customer wait.
  kShed,              // The router is overloaded by this customer.
  kDeadline,          // The deadline passed, or cannot be met.
  kNoTarget,          // No target serves the pool.
  kTargetFailed,      // Every allowed attempt failed.
  kTableUnavailable,  // The claim could not be written.
  kOutcomeUnknown,    // The idempotency key is claimed elsewhere.
};

// Name of a reason, as it stands in answers and metrics.
auto FailReasonName(FailReason reason) -> std::string_view;

// HTTP status of the answer for a reason.
auto FailStatus(FailReason reason) -> int;

// A caller's request with its class found and its body complete.
struct RequestArrived {
  RequestId id;
  std::shared_ptr<const Customer> customer;
  // Belongs to `customer`.
  const RequestClass* request_class = nullptr;
  PoolId pool;
  PrefixHash prefix;
  // Empty when the caller gave none.
  std::string idempotency_key;
};

// The caller went away.
struct RequestCancelled {
  RequestId id;
};

// What became of a claim.
enum class ClaimResult {
  kGranted,      // The row holds this request's operation: it may be sent.
  kReplay,       // The outcome is stored: answer with it.
  kInProgress,   // Claimed by somebody else.
  kUnavailable,  // The table service did not answer; nothing was sent.
};

struct ClaimResolved {
  RequestId id;
  ClaimResult result = ClaimResult::kUnavailable;
  // The stored outcome for `kReplay`.
  int status = 0;
  std::string body;
};

// The first token arrived, or more tokens did.
struct AttemptProgress {
  RequestId id;
  int attempt = 0;
  int new_tokens = 0;
  LatencySample latency;
};

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  AttemptReport report;
};

// A peer's authenticated message.
struct PeerMessageReceived {
  std::string from;
  PeerMessage message;
};

// The instance list as it was read; it may be late and wrong.
struct InstanceListReceived {
  std::vector<TargetInfo> targets;
  std::vector<std::string> gossip_addresses;
};

// A target said that it is leaving.
struct TargetLeaving {
  TargetId target;
};

// A target announced what its prefix cache holds; late and with gaps.
struct CacheChanged {
  TargetId target;
  std::vector<PrefixHash> stored;
  std::vector<PrefixHash> evicted;
};

// A configuration version is in force here.
struct ConfigApplied {
  ConfigVersion version;
};

// Begin a graceful shutdown.
struct StopRequested {};

using CoreInput =
    std::variant<RequestArrived, RequestCancelled, ClaimResolved,
                 AttemptProgress, AttemptEnded, PeerMessageReceived,
                 InstanceListReceived, TargetLeaving, CacheChanged,
                 ConfigApplied, StopRequested>;

// Send the request to a target.
struct StartAttempt {
  RequestId id;
  int attempt = 0;
  TargetInfo target;
  // Tokens that the caller already has; the target goes on after them.
  int resume_after_tokens = 0;
  // Use a new connection: a request that must not run twice must not be
  // repeated by the HTTP library on a connection that was closed.
  bool is_single_use_connection = false;
};

// End the attempt and tell the target.
struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};

// Answer the caller with an error, or cut its answer if it has begun.
struct FailRequest {
  RequestId id;
  FailReason reason = FailReason::kTargetFailed;
  Ran ran = Ran::kNo;
  Duration retry_after{};
};

// Answer the caller with a stored outcome.
struct ReplayOutcome {
  RequestId id;
  int status = 0;
  std::string body;
};

// Write a claim before the request is sent.
struct ClaimKey {
  RequestId id;
  std::string key;
};

// Store how a claimed request ended; the shell knows status and body.
struct StoreOutcome {
  RequestId id;
  std::string key;
};

// Give a claim back: the request surely did not run.
struct ReleaseClaim {
  RequestId id;
  std::string key;
};

// Send a message to a peer's gossip address.
struct SendPeerMessage {
  std::string address;
  PeerMessage message;
};

// A peer has a newer configuration: fetch it from the store, or from there.
struct FetchConfiguration {
  ConfigVersion version;
  std::string peer_address;
};

using CoreCommand =
    std::variant<StartAttempt, CancelAttempt, FailRequest, ReplayOutcome,
                 ClaimKey, StoreOutcome, ReleaseClaim, SendPeerMessage,
                 FetchConfiguration>;

}  // namespace papayaplank

#endif  // ROUTER_CORE_MESSAGES_H_
