// Keeps the longest answer times of two spans.
#include "admission/answer_times.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr Duration kSpan = seconds(60);

}  // namespace

auto AnswerTimes::Record(const std::string& route, Duration time, Time now)
    -> void {
  auto& spans = routes_[route];
  if (now - spans.began_at >= kSpan) {
    const auto follows = now - spans.began_at < 2 * kSpan;
    spans.before = follows ? spans.current : std::nullopt;
    spans.current.reset();
    spans.began_at = now;
  }
  spans.current = std::max(spans.current.value_or(time), time);
}

auto AnswerTimes::Longest(const std::string& route, Time now) const
    -> std::optional<Duration> {
  const auto found = routes_.find(route);
  if (found == routes_.end()) return std::nullopt;
  const auto& spans = found->second;
  if (now - spans.began_at >= 2 * kSpan) return std::nullopt;
  if (!spans.before) return spans.current;
  return std::max(*spans.before, spans.current.value_or(*spans.before));
}

}  // namespace papayaplank
