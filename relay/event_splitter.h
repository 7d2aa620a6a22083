// Cuts a stream into whole events, so that a target that stops in the middle
// of one leaves no part of it with the caller.
#ifndef RELAY_EVENT_SPLITTER_H_
#define RELAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace papayaplank {

// Events end with an empty line. Numbers never go back: an event that the
// caller already has is left out.
class EventSplitter {
 public:
  using EventHook = std::function<void(std::string_view)>;

  // Takes bytes and hands on the whole events in them.
  auto Take(std::string_view bytes, const EventHook& on_event) -> void;
  // A new target goes on: forgets a part of an event.
  auto Restart() -> void { rest_.clear(); }

  // Bytes of an event that is not whole yet.
  auto has_rest() const -> bool { return !rest_.empty(); }
  auto last_number() const -> std::optional<std::int64_t> {
    return last_number_;
  }
  // An event is missing between two that arrived.
  auto has_gap() const -> bool { return has_gap_; }

 private:
  auto TakeEvent(std::string_view event, const EventHook& on_event) -> void;

  std::string rest_;
  std::optional<std::int64_t> last_number_;
  bool has_gap_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_SPLITTER_H_
