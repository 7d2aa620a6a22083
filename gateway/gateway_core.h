// All decisions of one router about requests, targets and peers. It uses no
// socket and no clock: the I/O layer passes in events with their times and
// carries out the results.
#ifndef GATEWAY_GATEWAY_CORE_H_
#define GATEWAY_GATEWAY_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "gateway/config_watch.h"
#include "gateway/crash_guard.h"
#include "gateway/evacuation_news.h"
#include "gateway/fleet_exchange.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"
#include "gateway/placement_policy.h"
#include "gateway/request.h"
#include "gateway/stop_window.h"
#include "gateway/target_guard.h"
#include "gateway/target_list_schedule.h"
#include "gateway/target_news.h"

namespace papayaplank {

// Identity and limits of this router.
struct GatewayOptions {
  RouterId router;
  std::int64_t started_unix_ms = 0;
  std::string peer_address;
  std::string caller_address;
  DataCenterId data_center;
  // Region of each data centre; needed where home regions are configured.
  std::map<DataCenterId, RegionId> regions{};
  // Processor time that the instance grants, in cores.
  double cores = 1;
  // A revoked key is accepted for at most this long after its revocation.
  Duration revocation_bound = seconds(5);
  // A change of the configuration is in force at most this long after the store
  // has acknowledged it.
  Duration configuration_bound = seconds(2);
  RetryBound retries;
  // Bound on the requests to a cold target.
  ColdBound cold;
  // What the platform guarantees of targets that leave.
  ExitTimes exits;
  // Time from the stop signal until the process is killed.
  Duration stop_grace = seconds(8);
  std::uint64_t seed = 0;
};

// A request as the caller describes it.
struct RequestFacts {
  std::string_view host;
  std::string_view path;
  // Empty if the request has none.
  std::string key;
  PromptFacts prompt;
  // How long the caller waits; zero if not stated.
  Duration caller_wait{};
};

// Counts since the start of the process, for metrics.
struct GatewayCounters {
  std::uint64_t requests = 0;
  // Requests that were refused at admission.
  std::uint64_t refused = 0;
  // Requests sent to targets, retries included.
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed_attempts = 0;
  // Messages of other routers whose versions are of an older era of the store.
  std::uint64_t stale_messages = 0;
};

// The targets of a service and their load as known to this router, for
// metrics.
struct PoolState {
  PoolId pool;
  // Targets that take new requests.
  std::size_t targets = 0;
  std::int64_t slots = 0;
  // Requests in progress at these targets, from this router and its peers.
  int requests = 0;
  // Retries that this router's part of the retry budget still allows.
  double retries_left = 0;
};

// A target that said in an answer that it leaves, to be logged.
struct Departure {
  TargetId target;
  // Another router got that answer.
  bool is_from_peer = false;
};

// The decisions of one router.
class GatewayCore {
 public:
  using AcceptResult = std::variant<GatewayRequest, Refusal>;

  explicit GatewayCore(GatewayOptions options);

  // Events from the store and from peers.

  // Replaces the configuration if `table` has a newer version. Returns whether
  // it did.
  auto SetTable(std::shared_ptr<const RoutingTable> table) -> bool;
  // A read showed that the configuration is the newest; the request of the
  // read was sent at `sent_at`.
  auto ConfirmConfiguration(Time sent_at) -> void;
  // Applies a complete target list that was read from the store.
  auto SetTargets(std::vector<TargetRow> rows, std::uint64_t store_version,
                  Time now) -> DirectoryChange;
  // Whether a process of the target that has ended may have exited as planned.
  auto MayHaveExited(const TargetRow& target) const -> bool;
  // Judges how a process of the target ended at `ended_at`, by its row in the
  // store as read since.
  auto JudgeExit(const TargetRow& target, Time ended_at, ExitRow row,
                 Time now) const -> ExitVerdict;
  // An answer of the store to a call that was sent at `sent_at` states this
  // era, or none. Returns whether the answer counts; a late one of an older era
  // doesn't.
  auto RecordStoreEra(std::optional<StoreEra> stated, Time sent_at, Time now)
      -> bool;
  // An answer of the current era has shown this version of the store.
  auto RecordStoreVersion(std::uint64_t version) -> void {
    store_eras_.RecordVersion(version);
  }
  auto store_eras() const -> const StoreEras& { return store_eras_; }
  // The change of era since the last call, if there was one.
  auto TakeEraChange() -> std::optional<EraChange> {
    return store_eras_.TakeChange();
  }
  // A call to the store succeeded.
  auto RecordStoreSuccess(Time now) -> void;
  // A call to the store failed.
  auto RecordStoreFailure() -> void { store_continuity_.RecordFailure(); }
  // The evacuated data centres as of a version of the store, all of them or
  // one that changed.
  auto SetEvacuated(const std::vector<EvacuationRecord>& evacuated,
                    std::uint64_t version, Time now) -> void;
  auto SetEvacuation(const EvacuationRecord& record, Time now) -> void;
  // Evacuations that another router's snapshot names.
  auto HandleEvacuations(const std::vector<EvacuationRecord>& records,
                         StoreEra era, Time now) -> void;
  // Evacuations that began or ended since the last call.
  auto TakeEvacuationChanges() -> std::vector<EvacuationChange> {
    return evacuation_news_.TakeChanges();
  }
  auto evacuations() const -> const Evacuations& {
    return evacuation_news_.evacuations();
  }
  // Adds the routers whose rows were read from the store.
  auto AddPeers(const std::vector<PeerSeed>& seeds, Time now) -> void;
  // Returns the changes in the directory by the target updates of the report.
  auto HandleReport(const PeerReport& report, Time now) -> DirectoryChange;
  auto HandleSummary(const FleetSummary& summary, Time now) -> DirectoryChange;
  auto HandleEvidence(const PartEvidence& evidence, Time now) -> void;
  // Evidence from the store, which this router passes on to all.
  auto HandleStoredEvidence(const PartEvidence& evidence, Time now) -> void {
    crash_guard_.quarantine().Merge(evidence.records, true, now);
  }
  // Tells a peer the version of the configuration and the age of its
  // confirmation. Nothing if this router's own configuration is not confirmed.
  auto AnswerQuery(const FreshnessQuery& query, Time now) const
      -> std::optional<FreshnessReply>;
  // Confirms the configuration, unless the peer's version is newer or the reply
  // matches no open query.
  auto HandleReply(const FreshnessReply& reply) -> void;
  // How late the periodic timer of the I/O layer fired.
  auto RecordLateness(Duration lateness, Time now) -> void {
    load_.RecordLateness(lateness, now);
  }
  // The process was paused for that long. Keys may have been revoked meanwhile,
  // so the confirmation of the configuration is void. After a long pause the
  // news of peers may have been missed, and the target list is read.
  auto RecordPause(Duration length, Time now) -> void;
  // Starts the stop: from now on this router is leaving. Reports announce it,
  // and requests that could not end in time are refused.
  auto BeginStop(Time now) -> void;

  // Requests.

  // Finds the route and checks the key and the load of this router.
  auto Accept(const RequestFacts& facts, Time now) -> AcceptResult;
  // Chooses a target and counts the request there, or refuses it. If a permit
  // was asked for, nothing is counted, and the request is to be placed again.
  auto Place(GatewayRequest& request, Time now) -> PlacementResult;
  // Events of the answer arrived; only the first call for an attempt counts.
  auto RecordFirstToken(const Placement& placement, Time now) -> void;
  // The attempt ended: frees its capacity and records the outcome.
  auto RecordAttemptEnd(const GatewayRequest& request,
                        const Placement& placement, AttemptOutcome outcome,
                        Time now) -> void;
  // Whether the request may be retried after an attempt with this outcome;
  // counts the retry if so. `has_events` means that the caller has received
  // events of the answer.
  auto MayRetry(const GatewayRequest& request, AttemptOutcome outcome,
                bool has_events, Time now) -> bool;

  // What targets say of themselves.

  // An answer of the placement's target arrived that says this.
  auto RecordStatement(const Placement& placement,
                       const TargetStatement& statement, Time now) -> void;
  // When a request that finds all targets of the pool pausing may come back;
  // zero if one of them takes requests.
  auto PromiseReturn(const PoolId& pool, Time now) -> Duration;
  // Pauses that began or ended since the last call.
  auto TakePauseChanges() -> std::vector<PauseChange> {
    return target_guard_.pauses().TakeChanges();
  }
  // Targets that said since the last call that they leave.
  auto TakeDepartures() -> std::vector<Departure> {
    return std::exchange(departures_, {});
  }
  // Targets that became cold or ceased to be since the last call.
  auto TakeColdChanges() -> std::vector<ColdChange> {
    return target_guard_.cold().TakeChanges();
  }
  // Limits that changed since the last call.
  auto TakeLimitChanges() -> std::vector<LimitChange> {
    return target_guard_.limits().TakeChanges();
  }
  auto HandleStatementReport(const StatementReport& report, Time now) -> void;
  // Nothing if this router does not know the target.
  auto HandlePermitRequest(const PermitRequest& request, Time now)
      -> std::optional<PermitGrant>;
  auto HandlePermitGrant(const PermitGrant& grant, Time now) -> void;
  // No reply has come within the time of the `PermitWait`.
  auto RecordPermitSilence(PermitNonce nonce, Time now) -> void {
    target_guard_.RecordSilence(nonce, now);
  }
  // Requests for permits, to be sent at once.
  auto TakePermitRequests() -> std::vector<OutgoingMessage>;
  auto target_guard() const -> const TargetGuard& { return target_guard_; }

  // Crashes of targets, and prompt parts that cause them.

  // Whether to find out if the target accepts connections.
  auto ShouldCheckTarget(const TargetId& target) const -> bool {
    return crash_guard_.ShouldCheck(target);
  }
  auto RecordTargetCheck(const TargetId& target, bool is_reachable, Time now)
      -> void;
  // Parts that were quarantined or released since the last call.
  auto TakeQuarantineChanges() -> std::vector<QuarantineChange> {
    return crash_guard_.quarantine().TakeChanges();
  }
  // Crashes that were confirmed since the last call.
  auto TakeCrashes() -> std::vector<TargetCrash> {
    return crash_guard_.TakeCrashes();
  }
  auto crash_guard() const -> const CrashGuard& { return crash_guard_; }

  // Reads from the store.

  // Whether this router waits at the store for configuration changes.
  auto is_watcher(Time now) const -> bool;
  // Whether to read the configuration now: this router has none, or a peer has
  // a newer one.
  auto must_read_configuration(Time now) -> bool;
  // The newest configuration version that this router or a live peer has.
  auto NewestConfiguration(Time now) const -> std::uint64_t;
  // Whether the newest call to the store failed.
  auto is_store_failing() const -> bool {
    return store_continuity_.is_failing();
  }
  // Address of a peer to fetch a newer version from; empty if the store is to
  // be read, or if no peer has a newer version.
  auto ChooseSnapshotSource(Time now) -> std::string;
  // Nothing if this router has no configuration.
  auto MakeSnapshot() const -> std::optional<PeerSnapshot>;
  // Applies updates of another router, whose versions are of this era. Returns
  // the changes in the directory.
  auto ApplyTargetUpdates(const std::vector<TargetUpdate>& updates,
                          StoreEra era, Time now) -> DirectoryChange;
  // The read of the target list that is due; once for each. Asked for after
  // each tick.
  auto TakeListReadDemand() -> std::optional<ListReadDemand> {
    return std::exchange(list_read_demand_, std::nullopt);
  }
  // Period of the reads of the router list. It may be long, as reports of
  // peers bring changes sooner.
  auto RouterListPeriod(Time now) const -> Duration;
  // Peers to send freshness queries to; few, chosen at random.
  auto ChooseQueryAddresses(Time now) -> std::vector<std::string>;
  auto MakeQuery(Time now) -> FreshnessQuery { return watch_.MakeQuery(now); }

  // Reports to peers, and addresses for callers that look for a router.

  // Messages to send now. Called once per tick of the periodic timer.
  auto MakePeerMessages(Time now) -> std::vector<OutgoingMessage>;
  auto exchange_role() const -> ExchangeRole { return exchange_.role(); }
  // Routers for the caller with this IP address in data centre `near`.
  // Routers of other regions are among them only if the caller's one has none,
  // or if they are in a home region of the routes of `host`.
  auto CallerAddresses(const DataCenterId& near, std::string_view host,
                       std::string_view caller, Time now) const
      -> std::vector<std::string>;
  // Whether new connections of callers are accepted.
  auto is_accepting_connections(Time now) const -> bool;

  // State, for readiness checks, logs and metrics.

  // Whether this router has a confirmed configuration and targets.
  auto is_ready(Time now) const -> bool;
  auto is_leaving() const -> bool { return stop_window_.has_begun(); }
  auto stop_window() const -> const StopWindow& { return stop_window_; }
  auto table() const -> const std::shared_ptr<const RoutingTable>& {
    return table_;
  }
  auto directory() const -> const TargetDirectory& { return directory_; }
  // Time since the configuration was last confirmed as the newest.
  auto key_age(Time now) const -> Duration { return keys_.Age(now); }
  // Whether the router at the peer address has said that it leaves and is
  // silent now.
  auto HasLeft(const std::string& peer_address, Time now) const -> bool {
    return peers_.HasLeft(peer_address, now);
  }
  // Number of peers that reported lately.
  auto live_peers(Time now) const -> std::size_t {
    return peers_.LiveCount(now);
  }
  // Number of peers that reported lately, are ready and not leaving.
  auto serving_peers(Time now) const -> std::size_t {
    return peers_.ServingRouters(now).size();
  }
  auto PoolStates(Time now) -> std::vector<PoolState>;
  auto load() const -> const RouterLoad& { return load_; }
  auto counters() const -> const GatewayCounters& { return counters_; }
  // Idle connections that this router may keep to one target of the pool.
  auto ConnectionShare(const PoolId& pool, Time now) const -> std::size_t;

 private:
  // All routers that callers may be directed to, including this one.
  auto ServingRouters(Time now) const -> std::vector<ServingRouter>;
  // Region of the data centre; empty if it is not known.
  auto FindRegion(const DataCenterId& data_center) const -> RegionId;
  // Whether the target is in a home region of the request, if it has such.
  auto IsAtHome(const GatewayRequest& request, const TargetRow& target) const
      -> bool;
  // The serving targets of the pool that the request has not tried yet and that
  // are in its home regions.
  auto FindOptions(const GatewayRequest& request, PermitClass permit_class,
                   Time now) -> std::vector<TargetOption>;
  // The preferred targets of the prompt's shared parts, best first.
  static auto PreferredTargets(const std::vector<TargetRow>& targets,
                               const std::vector<PromptPart>& parts)
      -> std::vector<const TargetRow*>;
  // The refusal of a request with a quarantined part; nothing if it has none,
  // or if this request is chosen to try the part.
  auto RefuseQuarantined(const std::vector<PartId>& parts, Time now)
      -> std::optional<Refusal>;
  // Whether this router tries the part for the fleet.
  auto IsProbeOwner(PartId part, Time now) const -> bool;
  // The rate at which the target may get permits while it is cold; nothing if
  // there is no bound.
  auto ColdRate(const TargetId& target) const -> std::optional<RequestRate>;
  // The target may be cold from now on, without a row that says so yet.
  auto PresumeCold(const TargetId& target, ColdCause cause, Time now) -> void;
  // A process of a target leaves, by its own word or a peer's.
  auto RecordDeparture(const TargetId& target, ProcessStart process,
                       bool is_from_peer) -> void;
  // What limits and pauses of targets leave of the fleet's capacity, as a
  // share.
  auto LimitedCapacityShare(Time now) const -> double;
  // The refusal of a request for which all targets lack permits.
  auto RefuseLimited(const std::vector<TargetOption>& options,
                     const AdmissionTerms& terms, Time now) -> Refusal;
  // The refusal of a request for something that the configuration lacks.
  auto RefuseUnknown(RefusalReason reason, Time now) -> Refusal;
  // Makes a refusal and counts it.
  auto Refuse(RefusalReason reason, Duration retry_after) -> Refusal;
  // A random pool of the route, by weight, among those with serving targets.
  auto ChoosePool(const Route& route) -> PoolId;
  auto FindOrAddLoad(const TargetRow& target) -> EngineLoad&;
  auto MakeState(Time now) const -> RouterState;
  auto MakeReport(Time now) -> PeerReport;
  // Passes the requests of other routers on to the forecasts.
  auto UpdateOtherLoads() -> void;
  auto ApplyChange(const DirectoryChange& change, Time now) -> void;
  // Evacuations have changed.
  auto ApplyEvacuations(const std::vector<EvacuationRecord>& changes, Time now)
      -> void;
  // Drops what is known of a target that left or restarted.
  auto ResetTarget(const TargetId& target) -> void;
  // Whether target rows may be missing because of a store outage.
  auto IsStoreRecovering(Time now) const -> bool;
  auto TargetListReaders(Time now) const -> ListReaders;
  // Other routers may have told of changes that this one has missed.
  auto DemandMissedNews() -> void;
  // Whether versions of this era, which another router names, can be compared
  // with those known here. A later era begins here, too.
  auto CountsForEra(StoreEra era, Time now) -> bool;
  // Keeps what is known, without its versions, and reads the store again.
  auto BeginStoreEra() -> void;
  auto DemandEraRead() -> void;

  GatewayOptions options_;
  Random random_;
  std::shared_ptr<const RoutingTable> table_;
  KeyValidity keys_;
  ConfigWatch watch_;
  TargetDirectory directory_;
  TargetExits target_exits_;
  StopWindow stop_window_;
  PeerTable peers_;
  CachedPrefixes cached_prefixes_;
  FairShare shares_;
  FleetRetryBudget retry_budget_;
  RouterLoad load_;
  TargetOutcomes outcomes_;
  CrashGuard crash_guard_;
  TargetGuard target_guard_;
  std::vector<Departure> departures_;
  // Average cost of a request to an engine, in prompt tokens.
  double mean_request_cost_ = 0;
  std::unordered_map<TargetId, EngineLoad> loads_;
  // Targets by their `TargetHash`.
  std::unordered_map<std::uint32_t, TargetId> target_of_hash_;
  FleetExchange exchange_;
  TargetNews target_news_;
  EvacuationNews evacuation_news_;
  TargetListSchedule list_schedule_;
  std::optional<ListReadDemand> list_read_demand_;
  StoreContinuity store_continuity_;
  StoreEras store_eras_;
  std::uint64_t next_attempt_ = 1;
  std::uint64_t report_sequence_ = 0;
  // Since when a peer has had a newer configuration.
  Time behind_since_{};
  GatewayCounters counters_;
};

}  // namespace papayaplank

#endif  // GATEWAY_GATEWAY_CORE_H_
