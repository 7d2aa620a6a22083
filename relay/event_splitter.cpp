// Splitting of server-sent events, and the check of their order.
#include "relay/event_splitter.h"

#include <algorithm>
#include <array>

#include "platform/platform.h"

namespace papayaplank {
namespace {

// What a block of lines that ends with an empty line is.
enum class BlockKind {
  kEvent,
  kComment,  // Comments and fields without effect on their own.
  kNoEvent,  // Has no field that an event can have.
};

// The start of an empty line that ends an event may be followed by this many
// bytes without the line being complete: LF, CR.
constexpr std::size_t kOpenEndBytes = 2;

// Position after the first empty line, looked for from `from` on; 0 if there is
// none. Lines end with LF or CR LF.
auto FindEventEnd(std::string_view bytes, std::size_t from) -> std::size_t {
  for (auto at = bytes.find('\n', from); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    const auto next = bytes.substr(at + 1, 2);
    if (!next.empty() && next[0] == '\n') return at + 2;
    if (next == "\r\n") return at + 3;
  }
  return 0;
}

// Whether the line is the field, with or without a value.
auto IsField(std::string_view line, std::string_view name) -> bool {
  if (line.substr(0, name.size()) != name) return false;
  return line.size() == name.size() || line[name.size()] == ':';
}

auto ClassifyBlock(std::string_view block) -> BlockKind {
  constexpr std::array kFieldsWithoutEffect = {"event", "retry"};
  auto kind = BlockKind::kComment;
  auto has_field = false;
  while (!block.empty()) {
    auto line = block.substr(0, block.find('\n'));
    block.remove_prefix(std::min(block.size(), line.size() + 1));
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (IsField(line, "data") || IsField(line, "id")) return BlockKind::kEvent;
    const auto is_known =
        line.empty() || line.front() == ':' ||
        std::any_of(kFieldsWithoutEffect.begin(), kFieldsWithoutEffect.end(),
                    [line](const char* name) { return IsField(line, name); });
    has_field = has_field || (is_known && !line.empty());
    if (!is_known) kind = BlockKind::kNoEvent;
  }
  return has_field ? BlockKind::kComment : kind;
}

}  // namespace

auto EventSplitter::Restart() -> void {
  partial_event_.clear();
  repeated_id_.reset();
  is_continuation_ = last_event_id_.has_value();
  is_out_of_order_ = false;
}

auto EventSplitter::has_partial_event() const -> bool {
  return partial_event_.find_first_not_of("\r\n") != std::string::npos;
}

auto EventSplitter::Append(std::string_view bytes, const EventHook& on_event)
    -> void {
  // Only new bytes are searched, as an event may come in many small pieces.
  const auto searched =
      partial_event_.size() - std::min(partial_event_.size(), kOpenEndBytes);
  partial_event_.append(bytes);
  const std::string_view text = partial_event_;
  std::size_t start = 0;
  for (auto end = FindEventEnd(text, searched); end != 0;
       end = FindEventEnd(text, start)) {
    HandleEvent(text.substr(start, end - start), on_event);
    start = end;
  }
  partial_event_.erase(0, start);
}

auto EventSplitter::HandleEvent(std::string_view event,
                                const EventHook& on_event) -> void {
  if (is_out_of_order_) return;
  const auto id = ParseEventId(event);
  if (id && last_event_id_ && *id <= *last_event_id_) {
    repeated_id_ = id;
    return;
  }
  if (id) {
    is_out_of_order_ = last_event_id_ && *id != *last_event_id_ + 1;
  } else {
    const auto kind = ClassifyBlock(event);
    const auto is_event = kind == BlockKind::kEvent;
    is_out_of_order_ =
        kind == BlockKind::kNoEvent || (is_event && is_continuation_);
    has_unnumbered_event_ =
        has_unnumbered_event_ || (is_event && !is_out_of_order_);
  }
  if (is_out_of_order_) return;
  if (id) {
    last_event_id_ = id;
    repeated_id_.reset();
  }
  on_event(event);
}

}  // namespace papayaplank
