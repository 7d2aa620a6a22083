// How long the requests of each route have taken lately. Load pattern: a router
// that stops and must know which requests can still end.
#ifndef ADMISSION_ANSWER_TIMES_H_
#define ADMISSION_ANSWER_TIMES_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "base/base.h"

namespace papayaplank {

class AnswerTimes {
 public:
  // A request of the route was answered completely, so long after its arrival.
  auto Record(const std::string& route, Duration time, Time now) -> void;
  // The longest time of a request that ended lately; nothing if none did.
  auto Longest(const std::string& route, Time now) const
      -> std::optional<Duration>;

 private:
  // The longest times of two spans that follow each other.
  struct Spans {
    Time began_at{};
    std::optional<Duration> current;
    std::optional<Duration> before;
  };

  std::unordered_map<std::string, Spans> routes_;
};

}  // namespace papayaplank

#endif  // ADMISSION_ANSWER_TIMES_H_
