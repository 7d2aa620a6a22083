// Drives several router cores in virtual time against simulated targets,
// callers and a simulated network. It delivers each message after a delay; all
// decisions are made by the cores. It does not model the load of machines.
#ifndef BENCH_FLEET_DRIVER_H_
#define BENCH_FLEET_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "router/router.h"

namespace papayaplank {

// Size and timing of a simulated fleet.
struct FleetPlan {
  int routers = 8;
  int targets = 12;
  // Slots of each target.
  int slots = 16;
  int data_centers = 3;
  SharingMode mode = SharingMode::kFleet;
  // Time that a target needs for one token.
  Duration token_time = milliseconds(13);
  Duration network_delay = milliseconds(1);
  // Share of peer messages that are lost.
  double loss = 0;
  std::uint64_t seed = 1;
};

// The requests of one customer, which one caller sends.
struct CallerPlan {
  std::string name;
  double weight = 1;
  // Routers that receive its requests, in turn.
  std::vector<int> routers = {0};
  // Number of requests that it keeps open, unless `period` is set.
  int concurrency = 64;
  bool is_interactive = false;
  bool is_idempotent = true;
  // Costs in tokens. They follow a log-normal distribution with this median
  // and this standard deviation of the logarithm, clamped to the bounds.
  double median_cost = 300;
  double cost_sigma = 1;
  double min_cost = 10;
  double max_cost = 4000;
  double cost_hint = 300;
  // Time between two requests; zero keeps `concurrency` requests open instead.
  Duration period{};
  // Of each request, from its arrival.
  Duration deadline = seconds(36000);
  bool has_idempotency_keys = false;
};

// Customers that are always backlogged. Three of them have weight 4, the others
// 1; half of them use routers 0 and 1 of eight, the others the odd routers.
auto UnevenCallers(int count = 16) -> std::vector<CallerPlan>;

// A customer that sends five short interactive requests a second, to all of
// eight routers in turn.
auto InteractiveCaller() -> CallerPlan;

// The service that one customer received.
struct CallerResult {
  // Tokens.
  double served = 0;
  std::uint64_t completed = 0;
  // Failed requests that have not run, and those that may have run.
  std::uint64_t failed_not_run = 0;
  std::uint64_t failed_unknown = 0;
  // Seconds from arrival to the first start, in order of start.
  std::vector<double> waits;
};

// Runs one simulated fleet.
class FleetDriver {
 public:
  FleetDriver(const FleetPlan& plan, std::vector<CallerPlan> callers);

  // Advances the virtual time.
  auto Run(Duration time) -> void;

  // Restarts gap, utilisation, messages, bytes, peak slot usage and the waits;
  // all other results count from the construction.
  auto ResetMeasurements() -> void;

  // Faults. Routers and targets are numbered from 0.

  // Its requests end without an answer, and targets cancel them.
  auto KillRouter(int router) -> void;
  // Starts a new router at the same address, with empty state.
  auto RestartRouter(int router) -> void;
  // Messages and calls to the router wait until the pause ends.
  auto PauseRouter(int router, Duration time) -> void;
  // Cuts the network between the routers of the two sets.
  auto PartitionNetwork(const std::set<int>& a, const std::set<int>& b) -> void;
  auto HealNetwork() -> void;
  // The instance list names the target as leaving.
  auto MarkTargetLeaving(int target) -> void;
  // Its attempts break, and it accepts no other.
  auto KillTarget(int target) -> void;
  // Called at the end of each attempt to change its report.
  using AttemptFault =
      std::function<void(const StartAttempt&, AttemptReport& report)>;
  auto SetAttemptFault(AttemptFault fault) -> void;

  // Largest difference of tokens per weight that two customers without `period`
  // received over any interval.
  auto FairnessGap() const -> double;
  // Share of the slots that was busy while requests waited; 1 if none waited.
  auto Utilisation() const -> double;
  // Peer messages per second and router, and their bytes with the overhead of
  // the datagrams.
  auto MessagesPerRouterSecond() const -> double;
  auto BytesPerRouterSecond() const -> double;
  // `caller` is the position in the constructor's `callers`.
  auto Result(int caller) const -> const CallerResult&;
  // Largest number of concurrent requests on any target, divided by its slots.
  auto PeakSlotUsage() const -> double;
  // Number of runs of each request.
  auto run_counts() const -> const std::map<RequestId, int>& {
    return run_counts_;
  }
  auto RunCount(const RequestId& id) const -> int;
  // Requests that failed as not run although a target had started them.
  auto FalseNotRunCount() const -> int { return false_not_run_count_; }
  auto Core(int router) -> RouterCore&;
  auto now() const -> Time { return now_; }
  // Number of requests that run at the target.
  auto active_requests(int target) const -> int;

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    auto operator>(const Event& other) const -> bool {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct Router {
    std::unique_ptr<RouterCore> core;
    int starts = 0;
    bool is_down = false;
    Time paused_until{};
    // Calls that arrive while the router is paused; they run afterwards.
    std::vector<std::function<void()>> delayed_calls;
  };
  struct Attempt {
    StartAttempt start;
    int router = 0;
    // Value of `Router::starts` when the attempt started.
    int router_start = 0;
    // Tokens to send, and tokens sent already.
    double cost = 0;
    double sent = 0;
    bool is_over = false;
  };
  struct Caller {
    CallerPlan plan;
    std::shared_ptr<const Customer> customer;
    CallerResult result;
    std::size_t next_router = 0;
    int open_requests = 0;
  };
  struct OpenRequest {
    int caller = 0;
    int router = 0;
    double cost = 0;
    Time arrived_at{};
    bool is_started = false;
  };

  auto ScheduleAt(Time time, std::function<void()> run) -> void;
  auto RunOnRouter(int router, std::function<void()> run) -> void;
  auto StartRouter(int index) -> void;
  auto TickRouter(int index, int start) -> void;
  auto ExecuteCommands(int router, const RouterCore::Commands& commands)
      -> void;
  auto ExecuteCommand(int router, const StartAttempt& command) -> void;
  auto ExecuteCommand(int router, const CancelAttempt& command) -> void;
  auto ExecuteCommand(int router, const FailRequest& command) -> void;
  auto ExecuteCommand(int router, const ReplayOutcome& command) -> void;
  auto ExecuteCommand(int router, const ClaimKey& command) -> void;
  auto ExecuteCommand(int router, const StoreOutcome& command) -> void;
  auto ExecuteCommand(int router, const ReleaseClaim& command) -> void;
  auto ExecuteCommand(int router, const SendPeerMessage& command) -> void;
  auto ExecuteCommand(int router, const FetchConfiguration& command) -> void;
  auto AdvanceAttempt(const std::shared_ptr<Attempt>& attempt) -> void;
  auto EndAttempt(const std::shared_ptr<Attempt>& attempt, AttemptResult result)
      -> void;
  auto FinishRequest(const RequestId& id) -> void;
  auto SendRequest(int caller) -> void;
  auto DrawCost(const CallerPlan& plan) -> double;
  auto TakeSample() -> void;
  auto SendInstanceList(int router) -> void;

  FleetPlan plan_;
  Random random_;
  Time now_{seconds(1)};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_request_ = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Router> routers_;
  std::vector<Caller> callers_;
  std::vector<TargetInfo> targets_;
  std::map<TargetId, int> active_requests_;
  std::set<TargetId> dead_targets_;
  std::map<RequestId, OpenRequest> open_requests_;
  std::map<RequestId, std::shared_ptr<Attempt>> attempts_;
  std::map<RequestId, int> run_counts_;
  std::map<std::string, ClaimRow> claims_;
  std::set<std::pair<int, int>> partitioned_links_;
  AttemptFault attempt_fault_;
  // Measurements since `ResetMeasurements`, except `false_not_run_count_`.
  Time measured_from_{};
  std::vector<double> served_before_;
  // For two callers, the lowest and highest difference of their tokens per
  // weight.
  std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>>
      service_differences_;
  double busy_slot_samples_ = 0;
  double all_slot_samples_ = 0;
  std::uint64_t sent_messages_ = 0;
  std::uint64_t sent_bytes_ = 0;
  double peak_slot_usage_ = 0;
  int false_not_run_count_ = 0;
};

}  // namespace papayaplank

#endif  // BENCH_FLEET_DRIVER_H_
