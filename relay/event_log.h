// Structured log: JSON lines on standard output, bounded in volume. Writing
// never waits; lines that do not fit are counted and reported later.
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

// How many lines of one kind are written.
enum class LogClass {
  kState,    // Start, stop, dependencies: always.
  kFailure,  // Failed and refused requests.
  kRoutine,  // Requests that went well.
};

// Writes lines; owned by one task.
class EventLog {
 public:
  // `descriptor` is set to non-blocking.
  EventLog(int descriptor, std::string router);

  auto Write(LogClass log_class, std::string_view event, LogFields fields)
      -> void;
  auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  struct Bucket {
    double lines = 0;
    Time filled_at{};
  };

  auto TakeBudget(LogClass log_class, std::string_view event, Time now) -> bool;
  auto WriteLine(const std::string& line) -> void;

  int descriptor_;
  std::string router_;
  std::unordered_map<std::string, Bucket> buckets_;
  // Rest of a line that was written in part.
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_LOG_H_
