// All decisions of one router about requests, targets and peers. It holds no
// socket and reads no clock; the shells call it and do what it returns.
#ifndef GATEWAY_GATEWAY_CORE_H_
#define GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "gateway/config_watch.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"
#include "gateway/placement_policy.h"
#include "gateway/request.h"

namespace papayaplank {

// Who this router is and which bounds it keeps.
struct GatewayOptions {
  RouterId router;
  std::int64_t started_unix_ms = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  // A revoked key works no longer than this after its revocation.
  Duration revocation_bound = seconds(5);
  RetryBound retries;
  // Time from the order to stop until the process is killed.
  Duration stop_grace = seconds(8);
  std::uint64_t seed = 0;
};

// What a caller says of its request.
struct RequestFacts {
  std::string_view host;
  std::string_view path;
  // Empty if there is none.
  std::string key;
  PromptFacts prompt;
  // How long the caller waits; zero if it does not say.
  Duration caller_wait{};
};

// Counts since the start, for metrics.
struct GatewayCounters {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed_attempts = 0;
};

// A service as this router sees it, for metrics.
struct PoolState {
  PoolId pool;
  // Targets that take new requests.
  std::size_t targets = 0;
  int slots = 0;
  // Requests at these targets, of this router and its peers.
  int requests = 0;
  // Further sends that this router's part of the retry budget allows.
  double retries_left = 0;
};

// The decisions of one router.
class GatewayCore {
 public:
  using AcceptResult = std::variant<GatewayRequest, Refusal>;

  explicit GatewayCore(GatewayOptions options);

  // News.
  // Takes a version unless a newer one is in force; whether it was taken.
  auto SetTable(std::shared_ptr<const RoutingTable> table) -> bool;
  // A successful read of the newest configuration was sent at `sent_at`.
  auto ConfirmConfiguration(Time sent_at) -> void;
  auto SetTargets(std::vector<TargetRow> rows, std::uint64_t store_version,
                  Time now) -> DirectoryChange;
  // A call of the store was answered well.
  auto RecordStoreSuccess(Time now) -> void;
  // A call of the store failed.
  auto RecordStoreFailure() -> void { store_continuity_.RecordFailure(); }
  auto AddPeers(const std::vector<PeerSeed>& seeds, Time now) -> void;
  // What changed in the directory with the report's news.
  auto HandleReport(const PeerReport& report, Time now) -> DirectoryChange;
  auto AnswerQuery(const FreshnessQuery& query, Time now) const
      -> std::optional<FreshnessReply>;
  auto HandleReply(const FreshnessReply& reply) -> void;
  // How late the periodic timer of the shell has fired.
  auto RecordLateness(Duration lateness, Time now) -> void {
    load_.RecordLateness(lateness, now);
  }
  // The process stood still: leases and confirmations are void.
  auto RecordPause(Time now) -> void;
  auto BeginStop(Time now) -> void;

  // Requests.
  auto Accept(const RequestFacts& facts, Time now) -> AcceptResult;
  // Chooses a target and counts the request there, or refuses it.
  auto Place(GatewayRequest& request, Time now) -> PlacementResult;
  auto RecordFirstToken(const Placement& placement, Time now) -> void;
  auto RecordAttemptEnd(const GatewayRequest& request,
                        const Placement& placement, AttemptOutcome outcome,
                        Time now) -> void;
  // Whether the request may be sent once more after such an end. `events`
  // tells whether the caller has seen a part of the answer.
  auto MayRetry(const GatewayRequest& request, AttemptOutcome outcome,
                bool has_events, Time now) -> bool;

  // What this router reads from the store.
  // Whether it waits at the store for changes of the configuration.
  auto is_watcher(Time now) const -> bool;
  // Whether it lacks a version that a peer has.
  auto is_behind(Time now) const -> bool;
  // Whether the newest call of the store failed.
  auto is_store_failing() const -> bool {
    return store_continuity_.is_failing();
  }
  // Peer to take a newer version from, as the store fails this router; empty
  // if the store does not, or if no peer has one.
  auto ChooseSnapshotSource(Time now) -> std::string;
  // Nothing as long as no version is known.
  auto MakeSnapshot() const -> std::optional<PeerSnapshot>;
  // What changed in the directory.
  auto ApplyTargetUpdates(const std::vector<TargetUpdate>& updates)
      -> DirectoryChange;
  // Time until its next reading of the targets. It is random, so that the
  // readings of the routers spread over time whenever they started.
  auto NextTargetListDelay(Time now) -> Duration;
  // The same for the rows of routers, of which reports tell sooner.
  auto RouterListPeriod(Time now) const -> Duration;
  // Peers to ask how fresh their configuration is; few, chosen at random.
  auto ChooseQueryAddresses(Time now) -> std::vector<std::string>;
  auto MakeQuery(Time now) -> FreshnessQuery { return watch_.MakeQuery(now); }

  // Peers and callers that look for a router.
  // Called once a tick.
  auto MakeReport(Time now) -> PeerReport;
  // Peers that get the report made last.
  auto ReportRecipients(Time now) -> DueReports;
  auto CallerAddresses(const DataCenterId& near, Time now) const
      -> std::vector<std::string>;
  // Whether new connections of callers are let in.
  auto is_accepting_connections(Time now) const -> bool;

  // State.
  auto is_ready(Time now) const -> bool;
  auto is_leaving() const -> bool { return is_leaving_; }
  auto table() const -> const std::shared_ptr<const RoutingTable>& {
    return table_;
  }
  auto directory() const -> const TargetDirectory& { return directory_; }
  auto key_age(Time now) const -> Duration { return keys_.Age(now); }
  auto live_peers(Time now) const -> std::size_t {
    return peers_.LiveCount(now);
  }
  // Peers that were heard lately and serve.
  auto serving_peers(Time now) const -> std::size_t {
    return peers_.ServingRouters(now).size();
  }
  auto PoolStates(Time now) -> std::vector<PoolState>;
  auto load() const -> const RouterLoad& { return load_; }
  auto counters() const -> const GatewayCounters& { return counters_; }
  // Idle connections that this router may keep to one target of the service.
  auto ConnectionShare(const PoolId& pool, Time now) const -> std::size_t;

 private:
  // All routers that callers may be sent to, this one too.
  auto ServingRouters(Time now) const -> std::vector<ServingRouter>;
  auto FindOptions(const GatewayRequest& request, Time now)
      -> std::vector<TargetOption>;
  // The homes of the shared parts among the targets, the first one first.
  static auto PreferredTargets(const std::vector<TargetRow>& targets,
                               const std::vector<PromptPart>& parts)
      -> std::vector<const TargetRow*>;
  // Counts the refusal.
  auto Refuse(RefusalReason reason, Duration retry_after) -> Refusal;
  auto ChoosePool(const Route& route) -> PoolId;
  auto FindOrAddLoad(const TargetRow& target) -> EngineLoad&;
  auto ApplyPeerLoads(const PeerReport& report, const RouterId& router,
                      Time now) -> void;
  auto ApplyChange(const DirectoryChange& change) -> void;
  auto ResetTarget(const TargetId& target) -> void;
  auto IsStoreRecovering(Time now) const -> bool;

  GatewayOptions options_;
  Random random_;
  std::shared_ptr<const RoutingTable> table_;
  KeyValidity keys_;
  ConfigWatch watch_;
  TargetDirectory directory_;
  PeerTable peers_;
  CachedPrefixes cached_prefixes_;
  FairShare shares_;
  FleetRetryBudget retry_budget_;
  RouterLoad load_;
  TargetOutcomes outcomes_;
  std::unordered_map<TargetId, EngineLoad> loads_;
  // Targets by their short names in reports.
  std::unordered_map<std::uint32_t, TargetId> target_of_hash_;
  // Targets that each router named in its newest report.
  std::unordered_map<RouterId, std::unordered_set<std::uint32_t>> peer_targets_;
  // Changes that were read here, with when they were read.
  std::deque<std::pair<Time, TargetUpdate>> recent_updates_;
  StoreContinuity store_continuity_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t report_sequence_ = 0;
  bool is_leaving_ = false;
  Time leaving_since_{};
  GatewayCounters counters_;
};

}  // namespace papayaplank

#endif  // GATEWAY_GATEWAY_CORE_H_
