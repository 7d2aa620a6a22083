// Inputs that the router core handles and commands that it returns.
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

// Why the router answers a request with an error of its own.
enum class FailReason {
  kRateLimited,       // The customer's request rate is above its limit.
  kQueueFull,         // Too many requests of the customer are queued.
  kShed,              // Load shedding: the router has too many open requests.
  kDeadline,          // The deadline passed, or cannot be met.
  kNoTarget,          // No target serves the pool.
  kTargetFailed,      // Every allowed attempt failed.
  kTableUnavailable,  // The table service did not store the claim.
  kOutcomeUnknown,    // Another request has claimed the idempotency key.
  kStopping,          // The router stops before the request could end.
  kStopped,           // The router ended while the request was open.
};

// Name of a reason in answers and metrics.
auto FailReasonName(FailReason reason) -> std::string_view;

// HTTP status of the answer for a reason.
auto FailStatus(FailReason reason) -> int;

// A caller's request whose class is known and whose body is complete.
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

// The caller closed its connection.
struct RequestCancelled {
  RequestId id;
};

// Result of trying to claim an idempotency key.
enum class ClaimResult {
  kGranted,      // The row names this request's operation: it may be sent.
  kReplay,       // The outcome is stored: answer with it.
  kInProgress,   // Another request has claimed the key.
  kUnavailable,  // The table service did not answer; nothing was sent.
};

// The end of a claim that `ClaimKey` started.
struct ClaimResolved {
  RequestId id;
  ClaimResult result = ClaimResult::kUnavailable;
  // The stored outcome for `kReplay`.
  int status = 0;
  std::string body;
};

// An attempt received its first token, or more tokens. The numbers are those
// since the last progress.
struct AttemptProgress {
  RequestId id;
  int attempt = 0;
  int new_tokens = 0;
  LatencySample latency;
};

// An attempt ended, with or without an answer.
struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  AttemptReport report;
};

// A message of a peer; the transport has checked its authentication code.
struct PeerMessageReceived {
  // Gossip address of the sender.
  std::string from;
  PeerMessage message;
};

// The instance list was read. It may be out of date or wrong.
struct InstanceListReceived {
  std::vector<TargetInfo> targets;
  std::vector<std::string> gossip_addresses;
};

// A target announced that it is about to stop.
struct TargetLeaving {
  TargetId target;
};

// A target announced changes of its prefix cache. Announcements come late, and
// some are lost.
struct CacheChanged {
  TargetId target;
  std::vector<PrefixHash> stored;
  std::vector<PrefixHash> evicted;
};

// This router has applied a configuration version.
struct ConfigApplied {
  ConfigVersion version;
};

// Begin a graceful shutdown.
struct StopRequested {
  // Requests are admitted until then.
  Time admits_until{};
  // What is still open then is ended.
  Time ends_at{};
};

// The time for open requests is over: end them.
struct StopOver {};

using CoreInput =
    std::variant<RequestArrived, RequestCancelled, ClaimResolved,
                 AttemptProgress, AttemptEnded, PeerMessageReceived,
                 InstanceListReceived, TargetLeaving, CacheChanged,
                 ConfigApplied, StopRequested, StopOver>;

// Send the request to a target.
struct StartAttempt {
  RequestId id;
  int attempt = 0;
  TargetInfo target;
  // Tokens that the caller already has; the target continues after them.
  int resume_after_tokens = 0;
  // Use a new connection: the HTTP library resends a request if a reused
  // connection turns out to be closed, and this one must not run twice; or an
  // earlier attempt failed, perhaps because of what a reused connection held.
  bool is_single_use_connection = false;
};

// Abort the attempt and cancel it at the target.
struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};

// Answer the caller with an error, or break off the answer if it has begun.
struct FailRequest {
  RequestId id;
  FailReason reason = FailReason::kTargetFailed;
  Ran ran = Ran::kNo;
  // Zero if the answer has no Retry-After.
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

// Store the outcome of a claimed request; the I/O layer has kept its status and
// body.
struct StoreOutcome {
  RequestId id;
  std::string key;
};

// Release a claim: the request certainly did not run.
struct ReleaseClaim {
  RequestId id;
  std::string key;
};

// Send a message to a peer's gossip address.
struct SendPeerMessage {
  std::string address;
  PeerMessage message;
};

// A peer has a newer configuration: fetch it from the configuration store or
// from the peer.
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
