// The story of one request, from the log lines of all routers.
#ifndef APPS_REQUEST_STORY_H_
#define APPS_REQUEST_STORY_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace papayaplank {

// One line of a router's log.
struct StoryLine {
  std::int64_t time_ms = 0;
  std::string router;
  std::string event;
  // The line's fields in their order, as `name=value`.
  std::string fields;
};

// What the lines tell about a request.
struct RequestStory {
  // In the order of their times.
  std::vector<StoryLine> lines;
  // Changes at the same routers, and of the same targets, shortly before.
  std::vector<StoryLine> background;
  // One sentence for each line of the request that explains something.
  std::vector<std::string> causes;
  // Starts of routers. A router that was killed or lost power wrote nothing
  // about the requests that it had.
  std::vector<StoryLine> starts;
  // Lines that are no log lines; they are left out.
  std::size_t unreadable_lines = 0;
};

// Reads all lines of `in` and keeps what belongs to `request`. What stands
// before the first brace of a line is skipped, so that a collector may put its
// own words there.
class StoryReader {
 public:
  explicit StoryReader(std::string request) : request_(std::move(request)) {}

  auto Read(std::istream& in) -> void;
  // Empty `lines` if no line names the request.
  auto Tell() const -> RequestStory;

 private:
  struct Line {
    StoryLine shown;
    std::string outcome;
    std::string target;
    // Sentence that explains the line; empty if there is none.
    std::string cause;
  };

  auto ReadLine(const std::string& text) -> void;

  std::string request_;
  std::vector<Line> own_;
  // Lines about the state of routers and targets.
  std::vector<Line> state_;
  std::size_t unreadable_ = 0;
};

}  // namespace papayaplank

#endif  // APPS_REQUEST_STORY_H_
