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

// Passes on the events that the caller doesn't have yet, in order. A stream may
// need several runs at targets; each continues after the last event.
class EventSplitter {
 public:
  using EventHook = std::function<void(std::string_view)>;

  // The caller has all events up to `id` already.
  auto ContinueAfter(std::int64_t id) -> void {
    last_event_id_ = id;
    Restart();
  }
  // Adds bytes of the run; calls `on_event` with each event they complete,
  // unless the caller has it.
  auto Append(std::string_view bytes, const EventHook& on_event) -> void;
  // Discards what remains of a run, before another one continues the stream.
  auto Restart() -> void;

  // Whether the bytes so far end within an event.
  auto has_partial_event() const -> bool;
  auto partial_event_bytes() const -> std::size_t {
    return partial_event_.size();
  }
  auto last_event_id() const -> std::optional<std::int64_t> {
    return last_event_id_;
  }
  // Whether the run can't be a part of the stream: it skipped an id, or has
  // something that is no event, or no numbered one where it has to continue. No
  // further event of the run is passed on.
  auto is_out_of_order() const -> bool { return is_out_of_order_; }
  // Whether the run, which has ended, didn't reach the last event that the
  // caller has.
  auto is_short() const -> bool {
    return repeated_id_ && *repeated_id_ < *last_event_id_;
  }
  // Whether another run can continue the stream: all events that were passed on
  // have an id.
  auto can_continue() const -> bool { return !has_unnumbered_event_; }

 private:
  auto HandleEvent(std::string_view event, const EventHook& on_event) -> void;

  std::string partial_event_;
  std::optional<std::int64_t> last_event_id_;
  // The last event of the run that the caller has from an earlier one. Set only
  // if `last_event_id_` is.
  std::optional<std::int64_t> repeated_id_;
  // Whether the run continues a numbered stream.
  bool is_continuation_ = false;
  bool is_out_of_order_ = false;
  bool has_unnumbered_event_ = false;
};

}  // namespace papayaplank

#endif  // RELAY_EVENT_SPLITTER_H_
