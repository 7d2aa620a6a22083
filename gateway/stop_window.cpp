// Times of a graceful stop.
#include "gateway/stop_window.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Between the closing of connections and the kill: the process still has to
// end.
constexpr Duration kExitMargin = milliseconds(400);
// For an answer that the event loop writes late.
constexpr Duration kAnswerMargin = milliseconds(200);
// Within which callers get no new addresses and are on their way.
constexpr Duration kNoticeTime = milliseconds(300);

}  // namespace

StopWindow::StopWindow(Duration grace) : grace_(grace) {}

auto StopWindow::Begin(Time now) -> void {
  if (has_begun_) return;
  has_begun_ = true;
  began_at_ = now;
  closes_at_ = now + std::max(Duration{}, grace_ - kExitMargin);
}

auto StopWindow::HasJustBegun(Time now) const -> bool {
  return has_begun_ && now - began_at_ <= kNoticeTime;
}

auto StopWindow::Fits(Duration limit, Time now) const -> bool {
  return !has_begun_ || now + limit + kAnswerMargin <= closes_at_;
}

}  // namespace papayaplank
