// Draws the times between turns.
#include "base/staggered_turns.h"

#include <cmath>

namespace papayaplank {
namespace {

// Shortest and longest time between two turns, in periods. The average is one.
constexpr double kShortest = 0.5;
constexpr double kLongest = 1.5;

auto TimeBetweenTurns(Random& random) -> double {
  return kShortest + (kLongest - kShortest) * random.Uniform();
}

// A moment is the likelier to lie between two turns the further they are
// apart, so the time between them is drawn in proportion to its length.
auto TimeToFirstTurn(Random& random) -> double {
  const auto squares = kLongest * kLongest - kShortest * kShortest;
  const auto between =
      std::sqrt(kShortest * kShortest + squares * random.Uniform());
  return between * random.Uniform();
}

}  // namespace

auto StaggeredTurns::Advance(Duration period, Random& random, Time now)
    -> bool {
  const auto is_first = now_ == Time{};
  const auto elapsed = is_first ? Duration{} : now - now_;
  now_ = now;
  if (is_first) left_ = TimeToFirstTurn(random);
  left_ -= static_cast<double>(elapsed.count()) /
           static_cast<double>(period.count());
  if (left_ > 0) return false;
  // After a long pause any position is as likely as at the start.
  if (left_ < -kLongest) {
    left_ = TimeToFirstTurn(random);
    return true;
  }
  while (left_ <= 0) left_ += TimeBetweenTurns(random);
  return true;
}

}  // namespace papayaplank
