// Structured log: JSON lines on a descriptor, with a rate limit. Writing never
// blocks; dropped lines are counted, and the next line that is written reports
// their total since the start.
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

// Classes of log lines. Each event name has a rate limit of its own; the class
// determines its rate.
enum class LogClass {
  kState,    // Start, stop, changes of the configuration, of targets and of the
             // store's reachability; not limited.
  kFailure,  // Failed and refused requests, pauses of the listener.
  kRoutine,  // Successful requests and other frequent events.
};

// Writes the lines. Not thread-safe.
class EventLog {
 public:
  // Sets `descriptor` to non-blocking.
  EventLog(int descriptor, std::string router_name);

  // Writes one line, or drops it if its event name is over the rate limit or
  // the descriptor takes no more bytes.
  auto Write(LogClass log_class, std::string_view event, LogFields fields)
      -> void;
  auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  // Rate limit of one event name.
  struct TokenBucket {
    double tokens = 0;
    Time filled_at{};
  };

  auto TakeToken(LogClass log_class, std::string_view event, Time now) -> bool;
  auto WriteLine(const std::string& line) -> void;

  int descriptor_;
  std::string router_name_;
  std::unordered_map<std::string, TokenBucket> buckets_;
  // Rest of a line of which only the start was written.
  std::string partial_line_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_LOG_H_
