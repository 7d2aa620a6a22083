// The request rates that targets name as their limits, as known to this router,
// and how many requests it sent to these targets. Load pattern: targets in need
// that all routers together must spare.
#ifndef ADMISSION_TARGET_LIMITS_H_
#define ADMISSION_TARGET_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"

namespace papayaplank {

struct RequestRate {
  double per_second = 0;
  // Permits that were not used are kept for this long, besides one.
  double burst_seconds = 0.25;
  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator==(const RequestRate&, const RequestRate&)
      -> bool = default;
};

// Names a process of a target: its start, Unix milliseconds.
using ProcessStart = StrongId<struct ProcessStartTag, std::int64_t>;

// What the newest known answer of a target's process says about its limit.
struct LimitNews {
  // Chosen by the router that got the answer, so that a copy that comes back
  // through others is not taken for a newer answer.
  std::uint32_t id = 0;
  ProcessStart process;
  // Nothing if the answer names no limit.
  std::optional<RequestRate> limit;
  // When the answer arrived.
  Time at{};
};

// A change of a limit, to be logged.
struct LimitChange {
  TargetId target;
  std::optional<RequestRate> before;
  std::optional<RequestRate> now;
  // Age of the answer that brought it.
  Duration age{};
  // Another router got that answer.
  bool is_from_peer = false;
};

// A target with a limit, for logs and metrics.
struct LimitedTarget {
  TargetId target;
  RequestRate limit;
  // Time since the newest answer that named it.
  Duration age{};
  // Requests that this router has sent there within `kSendWindow`.
  std::size_t sends = 0;
};

// Newest news by target. News of several routers may arrive in any order.
class TargetLimits {
 public:
  // Span over which requests to a limited target are counted.
  static constexpr Duration kSendWindow = seconds(4);

  explicit TargetLimits(std::uint64_t seed) : random_(seed) {}

  // An answer of the process arrived that names this limit, or none.
  auto RecordAnswer(const TargetId& target, ProcessStart process,
                    std::optional<RequestRate> limit, Time now) -> void;
  // The limit in an answer can't be read; what was known holds.
  auto RecordMalformed() -> void { ++malformed_; }
  // News from another router; whether they change the limit.
  auto Merge(const TargetId& target, const LimitNews& news, Time now) -> bool;
  // A request is sent to the target.
  auto RecordSend(const TargetId& target, Time now) -> void;
  // The target left or restarted.
  auto RemoveTarget(const TargetId& target) -> void { entries_.erase(target); }
  // Forgets what is old; called periodically.
  auto Tick(Time now) -> void;

  // The limit of the target; nothing if it has none.
  auto Find(const TargetId& target) const -> std::optional<RequestRate>;
  // Null if nothing is known.
  auto FindNews(const TargetId& target) const -> const LimitNews*;
  auto Limited(Time now) const -> std::vector<LimitedTarget>;
  // Whether any target has a limit.
  auto is_any_limited() const -> bool;
  // Changes since the last call.
  auto TakeChanges() -> std::vector<LimitChange> {
    return std::exchange(changes_, {});
  }
  auto malformed() const -> std::uint64_t { return malformed_; }

 private:
  struct Entry {
    LimitNews news;
    // Within `kSendWindow`, oldest first.
    std::deque<Time> sends;
  };

  auto Apply(const TargetId& target, const LimitNews& news, bool is_from_peer,
             Time now) -> bool;

  Random random_;
  // Targets that have a limit, or had one lately.
  std::unordered_map<TargetId, Entry> entries_;
  std::vector<LimitChange> changes_;
  std::uint64_t malformed_ = 0;
};

}  // namespace papayaplank

#endif  // ADMISSION_TARGET_LIMITS_H_
