// When a router reads the list of targets. Routers share the reads: each tells
// the others of the changes that it reads, so each may read rarely.
#ifndef GATEWAY_TARGET_LIST_SCHEDULE_H_
#define GATEWAY_TARGET_LIST_SCHEDULE_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "base/base.h"

namespace papayaplank {

// What a router knows of the other readers of the list.
struct ListReaders {
  // Routers that read the list and whose news reach this one.
  std::size_t others = 0;
  // The news of the others do reach this router.
  bool is_informed = true;
  // Rows of targets may be missing after a store outage.
  bool is_store_recovering = false;
  // This router keeps targets that the newest list lacked.
  bool has_missing_targets = false;
};

enum class ListReadReason {
  // This router's turn among the routers has come.
  kTurn,
  // So many readers were lost that this router's newest list is too old.
  kReadersLost,
  // Targets that were missing in the list were kept while rows could return;
  // now they can't.
  kMissingTargets,
  // This router may have missed news of the others.
  kMissedNews,
  // The store came back from an older copy, or has all rows again after that.
  kNewEra,
};

auto ListReadReasonName(ListReadReason reason) -> std::string_view;

// A read of the list that is due, and the delay until then.
struct ListReadDemand {
  ListReadReason reason = ListReadReason::kTurn;
  Duration delay{};
};

// This router's turns, and reads besides them that the loss of other readers
// calls for. These don't move its turns.
class TargetListSchedule {
 public:
  // A list was read.
  auto RecordRead(Time now) -> void {
    read_at_ = now;
    checks_missing_targets_ = false;
  }
  // The read that is due, if any. Called once per tick.
  auto Tick(const ListReaders& readers, Random& random, Time now)
      -> std::optional<ListReadDemand>;

 private:
  // Average time between two turns of this router.
  static auto MeanPeriod(const ListReaders& readers) -> Duration;

  StaggeredTurns turns_;
  // When the list was last read, or was last to be read if that is later.
  Time read_at_{};
  // A read for missing targets was called for since the last one.
  bool checks_missing_targets_ = false;
};

}  // namespace papayaplank

#endif  // GATEWAY_TARGET_LIST_SCHEDULE_H_
