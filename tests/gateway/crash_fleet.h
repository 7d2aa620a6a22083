// A fleet of router cores before engines that a prompt part can crash, in
// virtual time: messages, requests and crashes are events of one queue.
#ifndef TESTS_GATEWAY_CRASH_FLEET_H_
#define TESTS_GATEWAY_CRASH_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace papayaplank {

struct CrashFleetOptions {
  int routers = 8;
  int data_centers = 3;
  int engines = 18;
  // Sound requests a second, spread over the routers.
  double requests_per_second = 150;
  // Requests with the fatal part a second.
  double fatal_per_second = 1.2;
  // Requests may be repeated at another engine.
  bool is_resumable = true;
  // Sessions, the last shared part of a prompt. Fewer requests share each one
  // if there are many.
  int sessions = 180;
  // Share of messages between routers that get lost.
  double message_loss = 0;
  std::uint64_t seed = 1;
};

class CrashFleet {
 public:
  explicit CrashFleet(const CrashFleetOptions& options);

  auto Run(Duration time) -> void;
  auto now() const -> Time { return now_; }

  // Whether requests with the fatal part come, and whether it crashes engines.
  auto SetFatalRequests(bool come) -> void { fatal_requests_come_ = come; }
  auto SetPartIsFatal(bool is_fatal) -> void { part_is_fatal_ = is_fatal; }
  // Crashes some random engines at once, whatever they run.
  auto CrashEngines(int count) -> void;
  auto KillRouter(int index) -> void;
  auto StartRouter(int index) -> void;
  // A router that is cut off reaches engines and callers, but no other router.
  auto CutRouter(int index, bool is_cut) -> void;

  // Engines that ended by the fatal part, and when.
  auto crashes() const -> const std::vector<Time>& { return crashes_; }
  // Fatal requests that reached engines since `time`.
  auto FatalSentSince(Time time) const -> int;
  // Fatal requests that reached engines later than the users' bound allows,
  // from routers in touch.
  auto FatalSentAfterBound() const -> int;
  // Fatal requests that were answered in full.
  auto fatal_served() const -> int { return fatal_served_; }

  // Sound requests, and how many of them began at their first attempt.
  struct Service {
    int requests = 0;
    int begun = 0;
    auto share() const -> double {
      return requests == 0 ? 0 : static_cast<double>(begun) / requests;
    }
  };
  // Those since the last call.
  auto TakeService() -> Service { return std::exchange(service_, {}); }
  // Parts other than the fatal one that a router has quarantined.
  auto CondemnedSoundParts() const -> std::size_t;
  auto core(int index) -> GatewayCore& { return *routers_.at(index).core; }

  // The bound within which machines know of a change.
  static constexpr Duration kContact = seconds(3);
  static constexpr std::uint64_t kFatalPart = 0xdead;

 private:
  struct Router {
    std::unique_ptr<GatewayCore> core;
    std::string address;
    bool is_cut = false;
    // Newest start, cut or end of a cut.
    Time disturbed_at{};
    // Distinguishes processes at the same address.
    int incarnation = 0;
  };
  struct Attempt {
    int router = 0;
    int incarnation = 0;
    std::shared_ptr<GatewayRequest> request;
    Placement placement;
    bool is_fatal = false;
    bool has_begun = false;
    bool is_first = true;
    int events = 0;
  };
  struct Engine {
    TargetRow row;
    std::map<int, Attempt> attempts;
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
  auto AddEngine() -> void;
  auto Rows() const -> std::vector<TargetRow>;
  auto PublishTargets() -> void;
  auto CrashEngine(const TargetId& id) -> void;
  auto SendMessages() -> void;
  auto Deliver(int to, const PeerMessage& message) -> void;
  auto ScheduleRequests(bool is_fatal) -> void;
  auto SendRequest(bool is_fatal) -> void;
  auto Place(Attempt attempt) -> void;
  auto Reach(Attempt attempt) -> void;
  auto Begin(const TargetId& engine, int attempt) -> void;
  auto MakeEvent(const TargetId& engine, int attempt) -> void;
  // The attempt failed; it is repeated if its core allows it.
  auto Fail(Attempt attempt, AttemptOutcome outcome) -> void;
  // Finds out, as the I/O layer does, whether the engine has ended.
  auto CheckEngine(const Attempt& attempt) -> void;
  auto IsRunning(const Attempt& attempt) const -> bool;

  CrashFleetOptions options_;
  Random random_;
  Time now_{seconds(1000)};
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  std::map<int, Router> routers_;
  std::map<std::string, int> router_of_address_;
  int starts_ = 0;
  std::map<TargetId, Engine> engines_;
  // Rows of engines that crashed and stand in the store still.
  std::map<TargetId, TargetRow> stale_rows_;
  std::uint64_t store_version_ = 0;
  int attempt_count_ = 0;
  std::uint64_t request_count_ = 0;
  bool fatal_requests_come_ = false;
  bool part_is_fatal_ = true;
  std::vector<Time> crashes_;
  struct FatalRequest {
    Time sent_at{};
    // The router had run undisturbed for the users' bound.
    bool is_in_touch = false;
  };
  std::vector<FatalRequest> fatal_sent_;
  int fatal_served_ = 0;
  Service service_;
};

}  // namespace papayaplank

#endif  // TESTS_GATEWAY_CRASH_FLEET_H_
