// When a router reads the list of targets. Routers share the reads: each tells
// the others of the changes that it reads, so each may read rarely.
#ifndef GATEWAY_TARGET_LIST_SCHEDULE_H_
#define GATEWAY_TARGET_LIST_SCHEDULE_H_

#include <cstddef>
#include <optional>

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
};

// Plans one read after another. The number of readers may fall at any time, so
// a read that is planned already comes earlier then.
class TargetListSchedule {
 public:
  // The delay until the next read. It is random, so that the reads of routers
  // that started together spread over time.
  auto PlanRead(const ListReaders& readers, Random& random, Time now)
      -> Duration;
  // The delay until the planned read if it is to come earlier than planned.
  auto Advance(const ListReaders& readers, Time now) -> std::optional<Duration>;

 private:
  // Average time between two reads of this router.
  static auto MeanPeriod(const ListReaders& readers) -> Duration;
  auto Delay(const ListReaders& readers) const -> Duration;

  Time planned_at_{};
  // Position of the planned read among those of other routers, 0 to 1.
  double position_ = 0;
  // When the next read is due. In the past while the read is under way.
  Time due_{};
};

}  // namespace papayaplank

#endif  // GATEWAY_TARGET_LIST_SCHEDULE_H_
