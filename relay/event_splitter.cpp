// Splitting of server-sent events.
#include "relay/event_splitter.h"

#include "platform/platform.h"

namespace papayaplank {
namespace {

// Position after the empty line that ends the first event; 0 if none ends.
auto EndOfEvent(std::string_view bytes) -> std::size_t {
  const auto plain = bytes.find("\n\n");
  const auto windows = bytes.find("\r\n\r\n");
  if (plain == std::string_view::npos && windows == std::string_view::npos) {
    return 0;
  }
  if (plain < windows) return plain + 2;
  return windows + 4;
}

}  // namespace

auto EventSplitter::Take(std::string_view bytes, const EventHook& on_event)
    -> void {
  std::string joined;
  if (!rest_.empty()) {
    joined = std::move(rest_);
    joined.append(bytes);
    rest_.clear();
    bytes = joined;
  }
  for (auto end = EndOfEvent(bytes); end != 0; end = EndOfEvent(bytes)) {
    TakeEvent(bytes.substr(0, end), on_event);
    bytes.remove_prefix(end);
  }
  rest_.assign(bytes);
}

auto EventSplitter::TakeEvent(std::string_view event, const EventHook& on_event)
    -> void {
  const auto number = EventNumber(event);
  if (number && last_number_) {
    if (*number <= *last_number_) return;
    if (*number != *last_number_ + 1) has_gap_ = true;
  }
  if (has_gap_) return;
  if (number) last_number_ = number;
  on_event(event);
}

}  // namespace papayaplank
