// What a stopping router still accepts. Load pattern: a rolling restart, in
// which callers use the address of a router for some time after it was told to
// stop.
#ifndef GATEWAY_STOP_WINDOW_H_
#define GATEWAY_STOP_WINDOW_H_

#include "base/base.h"

namespace papayaplank {

// From the stop signal until connections are closed. A request fits if its own
// time limit ends before that: how long others of its kind have taken says
// nothing certain about it.
class StopWindow {
 public:
  // `grace` is the time from the signal until the process is killed.
  explicit StopWindow(Duration grace);

  // The signal has come; later ones change nothing.
  auto Begin(Time now) -> void;
  auto has_begun() const -> bool { return has_begun_; }
  // Whether a request that may take as long as `limit` surely ends before
  // connections are closed. Every request fits before the signal.
  auto Fits(Duration limit, Time now) const -> bool;
  // Whether callers can't have heard of the stop yet.
  auto HasJustBegun(Time now) const -> bool;
  // When requests that are still open are ended and connections closed;
  // meaningful once the signal has come.
  auto closes_at() const -> Time { return closes_at_; }

 private:
  Duration grace_;
  bool has_begun_ = false;
  Time began_at_{};
  Time closes_at_{};
};

}  // namespace papayaplank

#endif  // GATEWAY_STOP_WINDOW_H_
