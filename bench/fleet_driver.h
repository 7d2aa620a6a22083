// Drives several router cores in virtual time against fakes of targets,
// callers and the network. It is a test fake, not a model of a cluster: it
// delivers each message after a delay and asks the cores for everything else.
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

// A fleet on fakes.
struct FleetPlan {
  int routers = 8;
  int targets = 12;
  int slots = 16;
  int data_centers = 3;
  SharingMode mode = SharingMode::kFleet;
  Duration token_time = milliseconds(13);
  Duration network_delay = milliseconds(1);
  double loss = 0;
  std::uint64_t seed = 1;
};

// A customer that keeps `concurrency` requests open at its routers.
struct CallerPlan {
  std::string name;
  double weight = 1;
  // Routers it sends to, in turn.
  std::vector<int> routers = {0};
  int concurrency = 64;
  bool is_interactive = false;
  bool is_idempotent = true;
  // Costs are log-normal around `median_cost`, within the two bounds.
  double median_cost = 300;
  double cost_sigma = 1;
  double min_cost = 10;
  double max_cost = 4000;
  double cost_hint = 300;
  // Time between two requests when it is not always backlogged; zero keeps
  // `concurrency` open.
  Duration period{};
  Duration deadline = seconds(36000);
  bool has_idempotency_keys = false;
};

// Customers that are always backlogged, three of them of weight 4, half of
// them on two of eight routers.
auto UnevenCallers(int count = 16) -> std::vector<CallerPlan>;

// A customer with five short interactive requests a second, at all of eight
// routers in turn.
auto InteractiveCaller() -> CallerPlan;

// What one customer got.
struct CallerResult {
  double served = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed_not_run = 0;
  std::uint64_t failed_unknown = 0;
  // Seconds from arrival to the first start, in order of start.
  std::vector<double> waits;
};

// Runs one fleet.
class FleetDriver {
 public:
  FleetDriver(const FleetPlan& plan, std::vector<CallerPlan> callers);

  // Runs for some time.
  auto Run(Duration time) -> void;

  // Measures from now on: gap, utilisation, messages.
  auto ResetMeasurements() -> void;

  // Faults.
  auto KillRouter(int router) -> void;
  auto RestartRouter(int router) -> void;
  auto PauseRouter(int router, Duration time) -> void;
  // Cuts the network between the routers of the two sets.
  auto PartitionNetwork(const std::set<int>& a, const std::set<int>& b) -> void;
  auto HealNetwork() -> void;
  auto MarkTargetLeaving(int target) -> void;
  auto KillTarget(int target) -> void;
  // Called at the end of each attempt to change its report.
  using AttemptFault =
      std::function<void(const StartAttempt&, AttemptReport& report)>;
  auto SetAttemptFault(AttemptFault fault) -> void;

  // Measures. The gap is the largest difference of service per weight over
  // any interval, between customers that were always backlogged.
  auto FairnessGap() const -> double;
  auto Utilisation() const -> double;
  auto MessagesPerRouterSecond() const -> double;
  auto BytesPerRouterSecond() const -> double;
  auto Result(int caller) const -> const CallerResult&;
  // Largest number of requests at once on any target over its slots.
  auto PeakSlotUsage() const -> double;
  // How often each request ran.
  auto run_counts() const -> const std::map<RequestId, int>& {
    return run_counts_;
  }
  auto RunCount(const RequestId& id) const -> int;
  // Requests that failed as not run although a target had begun them.
  auto FalseNotRunCount() const -> int { return false_not_run_count_; }
  auto Core(int router) -> RouterCore&;
  auto now() const -> Time { return now_; }
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
    std::vector<std::function<void()>> held;
  };
  struct Attempt {
    StartAttempt start;
    int router = 0;
    int router_start = 0;
    double cost = 0;
    double sent = 0;
    bool is_over = false;
  };
  struct Caller {
    CallerPlan plan;
    std::shared_ptr<const Customer> customer;
    CallerResult result;
    std::size_t next_router = 0;
    int open = 0;
  };
  struct OpenRequest {
    int caller = 0;
    int router = 0;
    double cost = 0;
    Time arrived_at{};
    bool is_started = false;
  };

  auto At(Time time, std::function<void()> run) -> void;
  auto OnRouter(int router, std::function<void()> run) -> void;
  auto StartRouter(int index) -> void;
  auto TickRouter(int index, int start) -> void;
  auto Execute(int router, const RouterCore::Commands& commands) -> void;
  auto Do(int router, const StartAttempt& command) -> void;
  auto Do(int router, const CancelAttempt& command) -> void;
  auto Do(int router, const FailRequest& command) -> void;
  auto Do(int router, const ReplayOutcome& command) -> void;
  auto Do(int router, const ClaimKey& command) -> void;
  auto Do(int router, const StoreOutcome& command) -> void;
  auto Do(int router, const ReleaseClaim& command) -> void;
  auto Do(int router, const SendPeerMessage& command) -> void;
  auto Do(int router, const FetchConfiguration& command) -> void;
  auto Progress(const std::shared_ptr<Attempt>& attempt) -> void;
  auto EndAttempt(const std::shared_ptr<Attempt>& attempt, AttemptResult result)
      -> void;
  auto FinishRequest(const RequestId& id) -> void;
  auto SendRequest(int caller) -> void;
  auto DrawCost(const CallerPlan& plan) -> double;
  auto Sample() -> void;
  auto ListInstances(int router) -> void;

  FleetPlan plan_;
  Random random_;
  Time now_{seconds(1)};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_request_ = 1;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Router> routers_;
  std::vector<Caller> callers_;
  std::vector<TargetInfo> targets_;
  std::map<TargetId, int> active_;
  std::set<TargetId> dead_targets_;
  std::map<RequestId, OpenRequest> open_;
  std::map<RequestId, std::shared_ptr<Attempt>> attempts_;
  std::map<RequestId, int> run_counts_;
  std::map<std::string, ClaimRow> claims_;
  std::set<std::pair<int, int>> cut_;
  AttemptFault fault_;
  // Measures since `ResetMeasurements`.
  Time measured_from_{};
  std::vector<double> served_before_;
  std::map<std::pair<std::size_t, std::size_t>, std::pair<double, double>>
      differences_;
  double busy_samples_ = 0;
  double slot_samples_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  double peak_slot_usage_ = 0;
  int false_not_run_count_ = 0;
};

}  // namespace papayaplank

#endif  // BENCH_FLEET_DRIVER_H_
