// Log lines about rows of the store that can't be used.
#ifndef RELAY_MALFORMED_ROWS_H_
#define RELAY_MALFORMED_ROWS_H_

#include <set>
#include <string>
#include <string_view>

#include "relay/event_log.h"

namespace papayaplank {

// The malformed rows of one table. Each is logged once, as a table is read
// again and again, and only so many in all.
class MalformedRows {
 public:
  MalformedRows(EventLog& log, const char* event) : log_(log), event_(event) {}

  auto Log(const std::string& key, std::string_view cause) -> void {
    if (logged_.size() >= kMaxRows || !logged_.insert(key).second) return;
    log_.Write(LogClass::kState, event_, {{"key", key}, {"cause", cause}});
  }

 private:
  static constexpr std::size_t kMaxRows = 256;

  EventLog& log_;
  const char* event_;
  std::set<std::string> logged_;
};

}  // namespace papayaplank

#endif  // RELAY_MALFORMED_ROWS_H_
