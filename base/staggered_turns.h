// When a member of a group takes its turn at a duty that the group shares, such
// as reading a list that each member may need.
#ifndef BASE_STAGGERED_TURNS_H_
#define BASE_STAGGERED_TURNS_H_

#include "base/random.h"
#include "base/units.h"

namespace papayaplank {

// Turns that are half an average period to one and a half apart, at random. The
// first comes as if the turns had gone on forever, and nothing moves the turns
// but time: not the work that they start, nor what a group goes through
// together. So the turns of the members are independent at any moment, and the
// group as a whole takes them evenly (a stationary renewal process). A change
// of the period changes the pace of the time until the next turn.
class StaggeredTurns {
 public:
  // Lets the time up to `now` pass at the pace of this average period. Whether
  // a turn has come; several that have come meanwhile count as one.
  auto Advance(Duration period, Random& random, Time now) -> bool;

 private:
  // When time last passed; zero before the first call.
  Time now_{};
  // Until the next turn, in periods. Above zero after the first call.
  double left_ = 0;
};

}  // namespace papayaplank

#endif  // BASE_STAGGERED_TURNS_H_
