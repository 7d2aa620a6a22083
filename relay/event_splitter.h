// Splits a stream of server-sent events into complete events, so that the
// caller never gets a part of an event if a target's connection ends within it.
#ifndef RELAY_EVENT_SPLITTER_H_
#define RELAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace papayaplank {

// An event ends with an empty line. Event ids only grow: an event with an id
// that was passed on before is dropped.
class EventSplitter {
 public:
  using EventHook = std::function<void(std::string_view)>;

  // Adds bytes of the stream; calls `on_event` with each event they complete.
  auto Append(std::string_view bytes, const EventHook& on_event) -> void;
  // Discards an incomplete event, before another target continues the stream.
  auto Restart() -> void { partial_event_.clear(); }

  // Whether the bytes so far end within an event.
  auto has_partial_event() const -> bool { return !partial_event_.empty(); }
  auto partial_event_bytes() const -> std::size_t {
    return partial_event_.size();
  }
  auto last_event_id() const -> std::optional<std::int64_t> {
    return last_event_id_;
  }
  // Whether an id was skipped; no further event is passed on after that.
  auto has_gap() const -> bool { return has_gap_; }

 private:
  auto HandleEvent(std::string_view event, const EventHook& on_event) -> void;

  std::string partial_event_;
  std::optional<std::int64_t> last_event_id_;
  bool has_gap_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_SPLITTER_H_
