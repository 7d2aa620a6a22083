// Which targets are cold and at which rate these may get requests. Load
// pattern: targets start, crash and return, or whole data centres of them come
// back, while many routers have work for them and learn of it late.
//
// A target says in its row that it is cold. Where no row can tell yet, it is
// presumed to be: a wrong guess costs some throughput for seconds, while a
// missed one crashes the target.
#ifndef ADMISSION_COLD_TARGETS_H_
#define ADMISSION_COLD_TARGETS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/target_limits.h"
#include "base/base.h"

namespace papayaplank {

// Why a target counts as cold.
enum class ColdCause {
  kStated,       // Its row says so.
  kUnreachable,  // It could not be reached, so that it may return cold.
  kRestarted,    // It restarted, and no row of the new process says more.
  kReturned,     // Its data centre was taken back after an evacuation.
};

auto ColdCauseName(ColdCause cause) -> std::string_view;

// Newest evidence of whether a target is cold.
struct ColdState {
  ProcessStart process;
  ColdCause cause = ColdCause::kStated;
  // When the row was read, or the cause was seen.
  Time evidence_at{};
  // Not later than `evidence_at` if the target is not cold.
  Time cold_until{};
};

// A target that became cold or ceased to be, to be logged.
struct ColdChange {
  TargetId target;
  bool is_cold = false;
  ColdCause cause = ColdCause::kStated;
  // Of the evidence.
  Duration age{};
  // How much longer it counts as cold.
  Duration left{};
  bool is_from_peer = false;
};

// How many requests may arrive at a cold target in any second: the rate that it
// tolerates times `overshoot`, plus `slack`. An overshoot of zero means that
// there is no bound.
struct ColdBound {
  double overshoot = 0;
  double slack = 0;

  auto is_set() const -> bool { return overshoot > 0; }
  // The rate at which permits may be handed out, so that the bound holds in any
  // second even if all permits of a lifetime are used at its end.
  auto PermitRate(double tolerated_per_second) const -> RequestRate;
};

// Newest evidence by target. Evidence of several routers may arrive in any
// order and more than once.
class ColdTargets {
 public:
  // A row of the process was read that states how long it stays cold. `reports`
  // tells one statement from the next. Whether that is news.
  auto RecordRow(const TargetId& target, ProcessStart process,
                 std::int64_t reports, Duration cold_left, Time now) -> bool;
  // The target may be cold for so long from now. Whether that is news.
  auto Presume(const TargetId& target, ProcessStart process, ColdCause cause,
               Duration time, Time now) -> bool;
  // Evidence of another router. Whether that is news.
  auto Merge(const TargetId& target, const ColdState& state, Time now) -> bool;
  auto RemoveTarget(const TargetId& target) -> void { entries_.erase(target); }
  // Ends what is over; called periodically.
  auto Tick(Time now) -> void;

  auto IsCold(const TargetId& target, Time now) const -> bool;
  auto is_any_cold() const -> bool { return !entries_.empty(); }
  // Null if nothing is known.
  auto Find(const TargetId& target) const -> const ColdState*;
  auto Cold(Time now) const -> std::vector<TargetId>;
  // Changes since the last call.
  auto TakeChanges() -> std::vector<ColdChange> {
    return std::exchange(changes_, {});
  }
  // Targets that were presumed cold since the start of the process.
  auto presumed() const -> std::uint64_t { return presumed_; }

 private:
  struct Entry {
    ColdState state;
    // Of the row that stated it; -1 for none.
    std::int64_t reports = -1;
    Duration stated_left{};
    // Whether the last change that was noted was to cold.
    bool is_noted_cold = false;
  };

  auto Apply(Entry& entry, const TargetId& target, const ColdState& state,
             bool is_from_peer, Time now) -> void;

  // Targets with evidence that is not older than `kKeptEvidence`.
  std::unordered_map<TargetId, Entry> entries_;
  std::vector<ColdChange> changes_;
  std::uint64_t presumed_ = 0;
};

}  // namespace papayaplank

#endif  // ADMISSION_COLD_TARGETS_H_
