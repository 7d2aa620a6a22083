// A fleet of router cores that read target lists from a store and tell each
// other of changes, in virtual time, with routers that die, freeze or are cut
// off.
#ifndef TESTS_GATEWAY_DEPARTURE_FLEET_H_
#define TESTS_GATEWAY_DEPARTURE_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace papayaplank {

class DepartureFleet {
 public:
  DepartureFleet(int routers, std::uint64_t seed);

  auto Run(Duration time) -> void;
  auto now() const -> Time { return now_; }
  auto random() -> Random& { return random_; }

  // A router that starts reads the list of targets at once.
  auto Start(int index) -> void;
  auto Kill(int index) -> void { routers_.erase(index); }
  // A router that is cut off reaches neither the store nor other routers.
  auto Cut(int index, bool is_cut) -> void {
    if (routers_.count(index) != 0) routers_.at(index).is_cut = is_cut;
  }
  // The router says that it leaves, and ends after the time given.
  auto Leave(int index, Duration time) -> void;
  // The router doesn't reach the store, but does reach other routers.
  auto CutFromStore(int index, bool is_cut = true) -> void {
    if (routers_.count(index) != 0) {
      routers_.at(index).is_cut_from_store = is_cut;
    }
  }
  // A frozen router does nothing and gets nothing.
  auto Freeze(int index) -> void;
  auto Thaw(int index) -> void;
  // The store is away, and then back from a copy of that age. What the operator
  // and the targets have written since is written again within two seconds.
  auto ReturnFromCopy(Duration away, Duration age) -> void;
  // Share of the answers of the store that come seconds late.
  auto SetLateAnswers(double share) -> void { late_share_ = share; }
  // A target starts, also one that was removed.
  auto Join(int target) -> void;
  // Whether the target is to be used by every router.
  auto IsUsable(int target) const -> bool;
  // Routers that reach the store.
  auto Connected() const -> std::vector<int>;
  // The store takes in that the target leaves.
  auto Drain(int target) -> void;
  // The target's row is taken out of the store.
  auto Remove(int target) -> void;

  // The operator evacuates the data centre, or takes it back.
  auto SetEvacuated(int data_center, bool is_evacuated) -> void;
  // Share of the messages between routers that are lost.
  auto SetLoss(double loss) -> void { loss_ = loss; }

  // Routers that run and use a target of the data centre.
  auto UsersOf(int data_center) const -> std::vector<int>;
  // Routers that run and send callers to one of these, which don't.
  auto NameAnyOf(const std::vector<int>& dead) const -> std::vector<int>;
  // Routers that run and still use the target.
  auto Unaware(int target) const -> std::vector<int>;
  auto Running() const -> std::vector<int>;
  auto Hubs() const -> std::vector<int>;
  // Routers that call the store all the time.
  auto Watchers() const -> std::vector<int>;
  // Reads of the target list and bytes of messages since the last call.
  struct Cost {
    int list_reads = 0;
    std::size_t bytes = 0;
    // Most list reads within a second.
    int most_reads = 0;
  };
  auto TakeCost() -> Cost {
    recent_reads_.clear();
    return std::exchange(cost_, {});
  }
  // A time in which no router read the target list.
  struct ReadGap {
    Time since{};
    Duration length{};
  };
  // The longest one since the last call or the first read after it.
  auto TakeLongestReadGap() -> ReadGap;

  static constexpr int kTargets = 20;
  static constexpr int kDataCenters = 5;

 private:
  struct Router {
    std::unique_ptr<GatewayCore> core;
    bool is_cut = false;
    bool is_cut_from_store = false;
    bool is_frozen = false;
    Time frozen_at{};
    Time routers_read_at{};
    Time operator_rows_read_at{};
    int incarnation = 0;
    // Its newest call for the list of targets failed.
    bool is_retrying = false;
    // Era of the store whose operator rows were read after it had settled.
    StoreEra settled_era;
    Time read_due_at{};
    std::uint64_t reads = 0;
  };
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    auto operator<(const Event& other) const -> bool {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // What the store holds.
  struct Store {
    std::map<TargetId, TargetRow> targets;
    std::map<DataCenterId, EvacuationRecord> evacuated;
    std::uint64_t version = 1;
  };

  auto At(Duration delay, std::function<void()> action) -> void;
  // Writes what the operator and the targets want of one row to the store.
  auto WriteTarget(const TargetId& target) -> void;
  auto WriteEvacuation(const DataCenterId& data_center) -> void;
  auto WriteAgain() -> void;
  auto IsReachable(const Router& router) const -> bool {
    return !router.is_cut && !router.is_cut_from_store && !is_store_away_;
  }
  auto ReadLatency() -> Duration;
  auto Tick(int index, int incarnation) -> void;
  auto Deliver(int to, const std::string& bytes) -> void;
  auto ScheduleRead(int index, Duration delay) -> void;
  auto ReadTargets(int index) -> void;
  auto RecordRead() -> void;
  // As configuration readers do: watchers all the time, others at the start.
  auto ReadOperatorRows(int index) -> void;
  // Rows of routers that were killed stay in the store.
  auto ReadRouters(int index) -> void;

  Random random_;
  Time now_{seconds(1000)};
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  std::vector<std::string> addresses_;
  std::map<std::string, int> index_of_;
  std::map<int, Router> routers_;
  // What the targets and the operator have written last, whatever the store
  // holds.
  std::map<TargetId, TargetRow> wanted_targets_;
  std::set<DataCenterId> wanted_evacuated_;
  Store store_;
  // Copies of the store, one for each write.
  std::vector<std::pair<Time, Store>> copies_;
  StoreEra era_{1};
  bool is_store_away_ = false;
  double late_share_ = 0;
  double loss_ = 0;
  int starts_ = 0;
  std::int64_t target_starts_ = 1;
  std::uint64_t reads_ = 0;
  Cost cost_;
  // Of the target list, within the last second.
  std::deque<Time> recent_reads_;
  // When a router last read the target list.
  Time list_read_at_{};
  ReadGap longest_read_gap_;
};

}  // namespace papayaplank

#endif  // TESTS_GATEWAY_DEPARTURE_FLEET_H_
