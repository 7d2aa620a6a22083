// Units: monotonic time, cost of requests, weight of customers.
#ifndef BASE_UNITS_H_
#define BASE_UNITS_H_

#include <chrono>
#include <compare>

namespace papayaplank {

// Durations and points in time have a resolution of one microsecond.
using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The monotonic clock of this machine. Only the I/O layer reads it; it passes
// the time to the decision libraries as `now`.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT: name set by the standard

  // Reads the monotonic clock of the operating system.
  static auto now() -> time_point {  // NOLINT: name set by the standard
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

using Time = MonotonicClock::time_point;

// Multiplies a duration by a factor.
inline auto Scale(Duration duration, double factor) -> Duration {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Service that a request uses, in cost units: one unit is one generated token.
struct Cost {
  double units = 0;
  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator<=>(const Cost&, const Cost&) = default;
};

// Share of a customer relative to the other customers; always positive.
struct Weight {
  double value = 1;
  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator<=>(const Weight&, const Weight&) = default;
};

// Service received divided by weight, in cost units per unit of weight.
struct VirtualTime {
  double value = 0;
  // NOLINTNEXTLINE: false positive on defaulted comparisons.
  friend auto operator<=>(const VirtualTime&, const VirtualTime&) = default;
  friend auto operator+(VirtualTime a, VirtualTime b) -> VirtualTime {
    return VirtualTime{a.value + b.value};
  }
  friend auto operator-(VirtualTime a, VirtualTime b) -> VirtualTime {
    return VirtualTime{a.value - b.value};
  }
};

inline auto operator/(Cost cost, Weight weight) -> VirtualTime {
  return VirtualTime{cost.units / weight.value};
}

}  // namespace papayaplank

#endif  // BASE_UNITS_H_
