// A fleet of router cores before targets that name limits, leave or ask for
// pauses, in virtual time:
// messages, requests and answers are events of one queue.
#ifndef TESTS_GATEWAY_LIMIT_FLEET_H_
#define TESTS_GATEWAY_LIMIT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace papayaplank {

struct LimitFleetOptions {
  int routers = 8;
  int data_centers = 3;
  int targets = 18;
  int slots = 32;
  // Requests with prompts to engines, or plain ones to a service.
  bool is_engine = true;
  double requests_per_second = 300;
  // Share of the requests that go to the first router.
  double pinned_share = 0;
  // Share of the requests that the first customer sends, to the first router or
  // to all.
  double flood_share = 0;
  bool is_flood_pinned = true;
  int sessions = 180;
  int customers = 8;
  // How long an answer takes from its head to its end.
  Duration run_time = milliseconds(600);
  // Share of attempts that a target rejects without running them.
  double rejected_share = 0;
  // Share of attempts whose answer breaks off, so that they are resumed.
  double broken_share = 0;
  // Share of messages between routers that get lost.
  double message_loss = 0;
  Duration message_latency = milliseconds(2);
  // Requests a second that a cold target tolerates, and for how long a target
  // is cold after its start; no bound if zero. Routers then read the list of
  // targets, one of them each 200 ms.
  double cold_per_second = 0;
  Duration cold_time = seconds(3);
  // Age at which a change of a target's row can be read.
  Duration row_lag = milliseconds(800);
  // The last routers of the fleet know nothing of limits.
  int old_routers = 0;
  std::uint64_t seed = 1;
};

class LimitFleet {
 public:
  explicit LimitFleet(const LimitFleetOptions& options);

  auto Run(Duration time) -> void;
  auto now() const -> Time { return now_; }

  // The target names this limit in its answers from now on, or none.
  auto SetLimit(int target, std::optional<double> per_second) -> void;
  // The target takes requests and answers none from now on.
  auto SetSilent(int target) -> void {
    targets_.at(static_cast<std::size_t>(target)).is_silent = true;
  }
  // The target says in its answers from now on that it leaves.
  auto SetLeaving(int target) -> void {
    targets_.at(static_cast<std::size_t>(target)).is_leaving = true;
  }
  // The target turns away that share of its requests and asks for a pause.
  auto SetPause(int target, Duration pause, double share) -> void {
    targets_.at(static_cast<std::size_t>(target)).pause = pause;
    targets_.at(static_cast<std::size_t>(target)).pause_share = share;
  }
  // The target's process ends: it accepts no connections until `Restart`.
  auto Crash(int target) -> void {
    targets_.at(static_cast<std::size_t>(target)).is_down = true;
  }
  // A new process of the target starts, which is cold.
  auto Restart(int target) -> void;
  // The operator evacuates the data centre, or takes it back; its targets are
  // cold then.
  auto SetEvacuated(int data_center, bool is_evacuated) -> void;
  // The most requests that a target got in a second while it was cold.
  auto WorstColdSecond() const -> int;
  // The mean rate at which cold targets got requests.
  auto ColdUse() const -> double;
  auto SetRequestRate(double per_second) -> void {
    options_.requests_per_second = per_second;
  }
  auto KillRouter(int index) -> void;
  auto StartRouter(int index) -> void;
  // A frozen router does nothing; what it had to do is done when it wakes.
  auto FreezeRouter(int index) -> void;
  auto WakeRouter(int index) -> void;
  // A router that is cut off reaches targets and callers, and only other
  // routers that are cut off as well.
  auto CutRouter(int index, bool is_cut) -> void;

  // Requests that arrived at the target since `since`.
  auto Arrivals(int target, Time since) const -> int;
  // The same from one router.
  auto ArrivalsFrom(int router, int target, Time since) const -> int;
  // The most by which a target exceeded the users' bound in a window of 4 s:
  // requests beyond 1.5 times what its limits allowed. The users allow 5.
  auto WorstExcess() const -> double;

  // Requests that reached a target from a router that had been told that it
  // leaves, and that arrived there later than the users' bound.
  auto late_arrivals() const -> int { return late_arrivals_; }
  // The most requests from one router in a pause that it had been asked for,
  // later than half a second after it was.
  auto MostInPause() const -> int;
  // Pauses that targets have asked for.
  auto pause_count() const -> std::size_t { return pauses_.size(); }

  // Requests and their ends since the last call.
  struct Service {
    int requests = 0;
    int served = 0;
    // Refused with a time to return, and served then at the first try.
    int returned = 0;
    int served_on_return = 0;
    Duration longest_decision{};
    std::map<CustomerId, int> requests_by_customer;
    std::map<CustomerId, int> served_by_customer;
    auto share() const -> double {
      return requests == 0 ? 0 : static_cast<double>(served) / requests;
    }
  };
  auto TakeService() -> Service { return std::exchange(service_, {}); }
  auto core(int index) -> GatewayCore& { return *routers_.at(index).core; }
  auto target_id(int index) const -> TargetId { return targets_[index].row.id; }
  // Bytes and messages that routers sent to each other since the last call.
  struct Traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;
  };
  auto TakeTraffic() -> Traffic { return std::exchange(traffic_, {}); }

  // Between two reads of the list of targets in the whole fleet.
  static constexpr Duration kListPeriod = milliseconds(200);
  // The bound within which routers know of a change.
  static constexpr Duration kContact = seconds(3);
  // After this, no request may reach a target that said it leaves.
  static constexpr Duration kDrain = seconds(2);

 private:
  struct Attempt {
    int router = 0;
    int incarnation = 0;
    std::shared_ptr<GatewayRequest> request;
    Placement placement;
    Time sent_at{};
    bool has_returned = false;
    bool has_events = false;
  };
  struct Router {
    std::unique_ptr<GatewayCore> core;
    std::string address;
    bool is_old = false;
    bool is_cut = false;
    bool is_frozen = false;
    Time frozen_at{};
    // Newest start, cut, end of a cut, or wake.
    Time disturbed_at{};
    int incarnation = 0;
    // What it has to do when it wakes.
    std::vector<std::function<void()>> postponed;
    // When it first passed on an answer that names a limit, by target.
    std::map<int, Time> told_at;
    std::map<PermitNonce, Attempt> waiting;
    // When it was told that a target leaves, by target.
    std::map<int, Time> left_at;
  };
  struct Arrival {
    Time at{};
    int router = 0;
    // From a router that the users' bound counts.
    bool is_counted = false;
  };
  struct LimitChangeAt {
    Time at{};
    std::optional<double> per_second;
  };
  struct Target {
    TargetRow row;
    std::vector<Arrival> arrivals;
    std::vector<LimitChangeAt> limits;
    int running = 0;
    bool is_silent = false;
    bool is_leaving = false;
    std::optional<Duration> pause;
    double pause_share = 0;
    bool is_down = false;
    // When it became cold, each time.
    std::vector<Time> cold_since;
  };
  struct Pause {
    int router = 0;
    int incarnation = 0;
    int target = 0;
    Time at{};
    Time until{};
    int requests = 0;
  };
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    auto operator<(const Event& other) const -> bool {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  auto At(Duration delay, std::function<void()> action) -> void;
  // Runs the action at the router, or when it wakes, if the process still runs.
  auto AtRouter(int router, int incarnation, Duration delay,
                std::function<void()> action) -> void;
  auto Rows() const -> std::vector<TargetRow>;
  // A random router reads the list of targets; the next one follows.
  auto ReadRows() -> void;
  // The target is cold from now on; its row says so after the lag.
  auto BecomeCold(int target) -> void;
  auto SendMessages() -> void;
  auto Send(int from, std::vector<OutgoingMessage> messages) -> void;
  auto Deliver(int from, int to, const PeerMessage& message) -> void;
  // Takes out of a message what earlier versions don't send.
  static auto HideVersion(PeerMessage& message) -> void;
  // Places a request whose request for a permit has a reply or none.
  auto Resume(int router, PermitNonce nonce) -> void;
  auto ScheduleRequest() -> void;
  // At a random router, unless `router` names one.
  auto SendRequest(const CustomerId& customer, std::optional<int> router,
                   bool has_returned) -> void;
  auto Place(Attempt attempt) -> void;
  auto Refuse(const Attempt& attempt, const Refusal& refusal) -> void;
  auto Reach(Attempt attempt) -> void;
  auto Answer(Attempt attempt, int target) -> void;
  auto End(Attempt attempt, int target, AttemptOutcome outcome) -> void;
  auto IsInTouch(const Router& router) const -> bool;
  auto LimitAt(const Target& target, Time time) const -> std::optional<double>;

  LimitFleetOptions options_;
  Random random_;
  Time now_{seconds(1000)};
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  std::map<int, Router> routers_;
  std::map<std::string, int> router_of_address_;
  std::vector<Target> targets_;
  std::vector<EvacuationRecord> evacuated_;
  std::map<TargetId, int> target_index_;
  int starts_ = 0;
  std::uint64_t store_version_ = 0;
  std::uint64_t request_count_ = 0;
  Service service_;
  Traffic traffic_;
  int late_arrivals_ = 0;
  std::vector<Pause> pauses_;
};

}  // namespace papayaplank

#endif  // TESTS_GATEWAY_LIMIT_FLEET_H_
