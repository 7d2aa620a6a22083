// Structured log: JSON lines on a descriptor, with a rate limit. Writing never
// blocks; dropped lines are counted, and a later line reports their number.
#ifndef RELAY_EVENT_LOG_H_
#define RELAY_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/base.h"

namespace papayaplank {

// A value of a log field.
using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;
using LogFields = std::initializer_list<std::pair<const char*, LogValue>>;

// Classes of log lines, each with its own rate limit.
enum class LogClass {
  kState,    // Start, stop, dependencies; not limited.
  kFailure,  // Failed and refused requests.
  kRoutine,  // Successful requests and other frequent events.
};

// Writes the lines. Not thread-safe.
class EventLog {
 public:
  // Sets `descriptor` to non-blocking.
  EventLog(int descriptor, std::string router);

  auto Write(LogClass log_class, std::string_view event, LogFields fields)
      -> void;
  auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  // Rate limit of one event.
  struct TokenBucket {
    double tokens = 0;
    Time filled_at{};
  };

  auto ConsumeBudget(LogClass log_class, std::string_view event, Time now)
      -> bool;
  auto WriteLine(const std::string& line) -> void;

  int descriptor_;
  std::string router_;
  std::unordered_map<std::string, TokenBucket> budgets_;
  // Unwritten end of a line that the descriptor took in part.
  std::string partial_line_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_LOG_H_
