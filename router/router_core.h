// Combines membership, placement, fairness, capacity and dispatch into the
// decisions of one router.
#ifndef ROUTER_ROUTER_CORE_H_
#define ROUTER_ROUTER_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "capacity/capacity.h"
#include "dispatch/dispatch.h"
#include "fairness/fairness.h"
#include "membership/membership.h"
#include "router/account_exchange.h"
#include "router/core_messages.h"
#include "router/fleet_view.h"

namespace papayaplank {

// How far the routers cooperate. Production uses `kFleet`; benchmarks compare
// it with the others.
enum class SharingMode {
  kFifo,   // No sharing between routers; first come, first served.
  kLocal,  // No sharing; fair among the customers of each router.
  kFleet,  // Fair over the fleet: routers lend each other slots.
};

struct RouterOptions {
  MembershipOptions membership;
  LeaseOptions lease;
  LatencyObjective objective;
  SharingMode mode = SharingMode::kFleet;
  // How far this router's virtual time may lag behind the fleet's, in cost
  // units per unit of weight. Bounds how much more service than others its
  // customers can receive until this router has caught up.
  VirtualTime catch_up_limit{20000};
  Duration gossip_period = seconds(1);
  Duration account_period = seconds(1);
  std::size_t gossip_peers = 2;
  std::size_t summaries_per_gossip = 10;
  std::size_t accounts_per_period = 12;
  // Requests of all customers that wait or run at this router.
  std::size_t max_open_requests = 20000;
  // Retry budget of each customer and target, in retries: what each first
  // attempt earns, and the most that can be saved up. A budget starts with the
  // full reserve.
  double retry_share = 0.1;
  double retry_reserve = 10;
  // When an interactive request has waited this long, one batch stream of this
  // router is cancelled for it and resumed later.
  Duration preempt_after = milliseconds(300);
  // After a longer pause of the process, all held leases count as expired.
  Duration pause_limit = milliseconds(700);
};

// Counters since the process started, for metrics.
struct CoreCounters {
  // Requests admitted, and attempts started.
  std::uint64_t admitted = 0;
  std::uint64_t started = 0;
  // Ends of requests; `failed` includes those that were not admitted.
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  // Requests whose caller closed its connection.
  std::uint64_t cancelled = 0;
  std::uint64_t retries = 0;
  // Retries that continue an answer whose head the caller has received.
  std::uint64_t resumed = 0;
  std::uint64_t preempted = 0;
  // Lease updates sent: grants, renewals, recalls and ends.
  std::uint64_t slot_updates_sent = 0;
  std::uint64_t peer_messages_sent = 0;
  std::uint64_t pauses = 0;
};

// State of one pool at this router, for status and metrics.
struct PoolStatus {
  PoolId pool;
  Backlog backlog;
  VirtualTime virtual_time;
  int running = 0;
  int owned_targets = 0;
  int free_slots = 0;
};

// The decisions of one router, as a state machine without I/O.
class RouterCore {
 public:
  using Commands = std::vector<CoreCommand>;

  RouterCore(const Member& self, RouterOptions options, std::uint64_t seed);

  // Handles one input and returns the commands for the I/O layer.
  auto Handle(const CoreInput& input, Time now) -> Commands;

  // Runs timers and periodic work; must be called at least every 50 ms.
  auto Tick(Time now) -> Commands;

  // State.
  //
  // Routers that the customer's callers should use, those of the data centre
  // first.
  auto HomeRouters(const CustomerId& customer,
                   const DataCenterId& data_center) const
      -> std::vector<Member>;
  auto Members() const -> std::vector<Member>;
  auto Pools() const -> std::vector<PoolStatus>;
  auto Targets() const -> std::vector<TargetInfo>;
  // Slots of a target that this router owns; none for other targets.
  auto SlotLimits(const TargetId& target) const -> SlotCounts;
  auto TargetOwner(const TargetId& target) const -> RouterId;
  // The customer's virtual time in the pool; zero if the pool is unknown here.
  auto CustomerVirtualTime(const CustomerId& customer, const PoolId& pool) const
      -> VirtualTime;
  auto counters() const -> const CoreCounters& { return counters_; }
  auto is_stopping() const -> bool { return stop_.has_value(); }
  auto HasRequest(const RequestId& id) const -> bool {
    return requests_.count(id) != 0;
  }
  // Requests that wait or run; zero ends a graceful shutdown.
  auto open_requests() const -> std::size_t { return requests_.size(); }

 private:
  enum class Stage {
    kClaiming,  // Waits for its idempotency key to be claimed.
    kWaiting,   // Queued for a slot.
    kDelayed,   // Waits for the delay before a retry.
    kRunning,   // An attempt is in progress.
  };

  struct Request {
    RequestArrived arrival;
    Stage stage = Stage::kWaiting;
    Time arrived_at{};
    Time deadline{};
    // The estimate, charged to the customer at the start of the current
    // attempt.
    Cost charged;
    // Charged to the customer beyond the estimate while the stream runs.
    Cost progress_charged;
    int attempts = 0;
    // Tokens received in all attempts and in the current one.
    int tokens = 0;
    int attempt_tokens = 0;
    TargetId target;
    // Whether the attempt holds a headroom slot; else a shared one.
    bool is_headroom = false;
    // Whether this router owns the target; else the slot is leased.
    bool is_own_slot = false;
    // Whether the attempt is being cancelled in favour of an interactive
    // request. The request is queued again when the attempt has ended.
    bool is_preempted = false;
    bool is_caller_gone = false;
    // Whether this request holds the claim on its idempotency key.
    bool has_claim = false;
    std::set<TargetId> failed_targets;
    Time started_at{};
    // Whether the request ran, as far as all attempts show that have ended.
    Ran ran = Ran::kNo;
  };

  struct Pool {
    explicit Pool(VirtualTime catch_up_limit) : queue(catch_up_limit) {}
    PoolQueue queue;
    Time next_demand{};
    bool has_sent_demand = false;
    // Position in `FleetView::OtherPoolOwners`; owners get demands in turn.
    std::size_t next_owner = 0;
    int running = 0;
    // Starts since the last update of `start_rate`, which is the moving average
    // of starts per second.
    int starts = 0;
    double start_rate = 0;
    // Moving average of the estimates charged, in cost units.
    double mean_estimate = 100;
  };

  // Requests (router_core.cpp).
  auto HandleInput(const RequestArrived& message, Time now) -> void;
  auto HandleInput(const RequestCancelled& message, Time now) -> void;
  auto HandleInput(const ClaimResolved& message, Time now) -> void;
  auto HandleInput(const AttemptProgress& message, Time now) -> void;
  auto HandleInput(const AttemptEnded& message, Time now) -> void;
  // Whether the request is admitted; else it has been rejected.
  auto Admit(const RequestArrived& message, Time now) -> bool;
  // Whether the request surely begins its answer before a stop ends.
  auto FitsStop(const RequestArrived& message, Time now) const -> bool;
  auto Enqueue(Request& request) -> void;
  // Rejects a request that was not admitted.
  auto Reject(const RequestId& id, FailReason reason, Duration retry_after)
      -> void;
  // Ends an admitted request with an error and erases it.
  auto Fail(Request& request, FailReason reason, Duration retry_after) -> void;
  auto Complete(Request& request, const AttemptReport& report) -> void;
  auto ReleaseSlot(Request& request) -> void;
  // Replaces the charges of the attempt by its actual cost.
  auto SettleCharge(Request& request, Cost actual) -> void;
  auto RetryOrFail(Request& request, const AttemptReport& report, Time now)
      -> void;
  auto ExpireWaiting(Time now) -> void;
  auto RequeueDelayed(Time now) -> void;
  // Rejects a waiting request of the customer that is furthest above its share.
  auto ShedOne(Pool& pool) -> void;
  // Predicted wait of the customer's next request in the queue; zero also if
  // too few requests start for a prediction.
  auto ExpectedWait(const Pool& pool, const Customer& customer) const
      -> Duration;

  // Slots (router_core.cpp).
  // Lends free slots and starts waiting requests while there are slots.
  auto DispatchWaiting(const PoolId& pool_id, Time now) -> void;
  // Starts the next waiting request. Returns false if none waits or no slot is
  // free.
  auto StartNext(const PoolId& pool_id, Pool& pool, Time now) -> bool;
  // Takes a slot of the best target, a headroom slot if `headroom` is set, else
  // a shared one. Returns the target, or none if no slot is free.
  auto AcquireSlot(const PoolId& pool_id, const Request& request, bool headroom,
                   Time now) -> std::optional<TargetId>;
  auto FindCandidates(const PoolId& pool_id, const Request& request,
                      bool headroom, Time now) const -> std::vector<Candidate>;
  auto StartRequest(Request& request, Pool& pool, const QueuedRequest& queued,
                    Time now) -> void;
  // Cancels the longest-running batch stream of each pool in which an
  // interactive request has waited for too long.
  auto PreemptBatchStream(Time now) -> void;
  // The waiting requests of a pool, as input of the lending rule.
  auto MakeLocalDemand(const Pool& pool) const -> LocalDemand;

  // Peers (router_core_peers.cpp).
  auto HandleInput(const PeerMessageReceived& message, Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const Ping& ping, Time now)
      -> void;
  auto HandlePeerMessage(const std::string& from, const Ack& ack, Time now)
      -> void;
  auto HandlePeerMessage(const std::string& from, const SlotDemand& demand,
                         Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const LeaseUpdates& updates,
                         Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const LeaseReport& report,
                         Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const StateGossip& gossip,
                         Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const AccountReport& report,
                         Time now) -> void;
  auto HandlePeerMessage(const std::string& from, const AccountReply& reply,
                         Time now) -> void;
  auto HandleInput(const InstanceListReceived& message, Time now) -> void;
  auto HandleInput(const TargetLeaving& message, Time now) -> void;
  auto HandleInput(const CacheChanged& message, Time now) -> void;
  auto HandleInput(const ConfigApplied& message, Time now) -> void;
  auto HandleInput(const StopRequested& message, Time now) -> void;
  auto HandleInput(const StopOver& message, Time now) -> void;
  auto SendTo(const RouterId& router, PeerMessage message) -> void;
  auto SendMembership(MemberList::Messages messages) -> void;
  auto SendUpdates(std::vector<AddressedUpdate> updates) -> void;
  // Charges service that other routers gave to the accounts of their pools.
  auto ChargeRemote(const std::vector<RemoteCharge>& charges) -> void;
  auto RefreshOwnership() -> void;
  // Records for the running requests on a target whether their slots are owned
  // or leased.
  auto SetRunningSlotOwnership(const TargetId& target, bool is_own_slot)
      -> void;
  // Removes leases, account sums and pool summaries of routers that have died.
  auto DropDeadRouters() -> void;
  auto SendDemands(Time now) -> void;
  // If a demand was sent, tells the owners that no more slots are wanted.
  auto WithdrawDemand(const PoolId& pool_id, Pool& pool, Time now) -> void;
  auto SendReports(Time now) -> void;
  auto SendGossip(Time now) -> void;
  auto SendAccounts(Time now) -> void;
  // Raises the pool's virtual time towards the highest that peers report.
  auto FollowFleetVirtualTime(const PoolId& pool_id, Pool& pool) -> void;
  // Expires the held leases if the process was paused: their owners may have
  // taken the slots back meanwhile.
  auto HandlePause(Time now) -> void;
  auto FetchNewerConfig() -> void;

  // The state of a pool, added if it is not there.
  auto FindOrAddPool(const PoolId& id) -> Pool&;
  auto IsTargetUsable(const TargetInfo& target, Time now) const -> bool;

  RouterOptions options_;
  Random random_;
  MemberList members_;
  FleetView fleet_;
  SlotOwner owner_;
  SlotBorrower borrower_;
  AccountExchange accounts_;
  CostEstimator estimator_;
  RateLimiter rate_limiter_;
  RetryBudget retry_budget_;
  TargetHealth health_;
  PrefixAffinity affinity_;
  // Each waiting request is in exactly one pool's queue, each delayed one in
  // `delayed_`, and each running one holds exactly one slot.
  std::unordered_map<RequestId, Request> requests_;
  std::map<PoolId, Pool> pools_;
  std::multimap<Time, RequestId> delayed_;
  // Newest summary of each other router and pool, and when it arrived.
  struct ReceivedSummary {
    PoolSummary summary;
    Time received_at{};
  };
  std::map<std::pair<PoolId, RouterId>, ReceivedSummary> summaries_;
  // Live routers at the last call of `DropDeadRouters`.
  std::set<RouterId> known_routers_;
  // Returned and cleared at the end of each call of `Handle` or `Tick`.
  Commands commands_;
  CoreCounters counters_;
  // Configuration version that this router has applied.
  ConfigVersion version_;
  std::uint64_t summary_sequence_ = 0;
  // `MemberList::generation` at the last call of `DropDeadRouters`.
  std::uint64_t seen_generation_ = 0;
  // Set once the router stops.
  std::optional<StopRequested> stop_;
  Time last_tick_{};
  Time next_report_{};
  Time next_gossip_{};
  Time next_accounts_{};
  Time next_rates_{};
  Time next_fetch_{};
};

}  // namespace papayaplank

#endif  // ROUTER_ROUTER_CORE_H_
