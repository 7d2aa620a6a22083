// Splitting of server-sent events.
#include "relay/event_splitter.h"

#include "platform/platform.h"

namespace papayaplank {
namespace {

// Position after the empty line that ends the first event; 0 if none is
// complete.
auto FindEventEnd(std::string_view bytes) -> std::size_t {
  const auto lf_end = bytes.find("\n\n");
  const auto crlf_end = bytes.find("\r\n\r\n");
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
    return 0;
  }
  if (lf_end < crlf_end) return lf_end + 2;
  return crlf_end + 4;
}

}  // namespace

auto EventSplitter::Append(std::string_view bytes, const EventHook& on_event)
    -> void {
  std::string joined;
  if (!partial_event_.empty()) {
    joined = std::move(partial_event_);
    joined.append(bytes);
    partial_event_.clear();
    bytes = joined;
  }
  for (auto end = FindEventEnd(bytes); end != 0; end = FindEventEnd(bytes)) {
    HandleEvent(bytes.substr(0, end), on_event);
    bytes.remove_prefix(end);
  }
  partial_event_.assign(bytes);
}

auto EventSplitter::HandleEvent(std::string_view event,
                                const EventHook& on_event) -> void {
  const auto id = ParseEventId(event);
  if (id && last_event_id_) {
    if (*id <= *last_event_id_) return;
    if (*id != *last_event_id_ + 1) has_gap_ = true;
  }
  if (has_gap_) return;
  if (id) last_event_id_ = id;
  on_event(event);
}

}  // namespace papayaplank
