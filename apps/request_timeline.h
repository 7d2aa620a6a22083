// The timeline of one request, from the log lines of all routers.
#ifndef APPS_REQUEST_TIMELINE_H_
#define APPS_REQUEST_TIMELINE_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace papayaplank {

// One line of a router's log.
struct LogLine {
  // Milliseconds since the Unix epoch, by the router's clock.
  std::int64_t time_ms = 0;
  std::string router;
  std::string event;
  // The line's fields in their order, as `name=value`.
  std::string fields;
};

// What the log lines show about a request.
struct RequestTimeline {
  // Lines that name the request, sorted by time.
  std::vector<LogLine> lines;
  // Lines about state changes of the same routers and targets, from 10 s before
  // the first line of the request to its last, sorted by time. Of the part for
  // which a request was refused, all lines before it.
  std::vector<LogLine> background;
  // One sentence for each line of the request that explains its outcome.
  std::vector<std::string> causes;
  // Starts of routers. A router that was killed or lost power has logged
  // nothing about the requests that it had.
  std::vector<LogLine> starts;
  // Number of lines that are not log lines; they are skipped.
  std::size_t unreadable_lines = 0;
};

// Reads log lines and keeps those that concern `request`. Text before the
// first brace of a line is skipped, as log collectors add prefixes.
class RequestLogReader {
 public:
  explicit RequestLogReader(std::string request)
      : request_(std::move(request)) {}

  // Reads to the end of `in`; can be called for several logs.
  auto Read(std::istream& in) -> void;
  // `lines` of the result is empty if no line names the request.
  auto BuildTimeline() const -> RequestTimeline;

 private:
  struct ExplainedLine {
    LogLine log_line;
    std::string outcome;
    std::string target;
    // Quarantined prompt part that the line is about; empty if there is none.
    std::string part;
    // Sentence that explains the line; empty if there is none.
    std::string cause;
  };

  auto ReadLine(const std::string& text) -> void;

  std::string request_;
  // Lines that name the request.
  std::vector<ExplainedLine> request_lines_;
  // Lines about the state of routers and targets.
  std::vector<ExplainedLine> state_lines_;
  std::size_t unreadable_lines_ = 0;
};

}  // namespace papayaplank

#endif  // APPS_REQUEST_TIMELINE_H_
