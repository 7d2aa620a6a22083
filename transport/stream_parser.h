// Splits a stream of server-sent events into complete events, so that an
// interrupted stream can resume at the next token without loss or repetition.
// An event ends with two line feeds; carriage returns are not recognised.
#ifndef TRANSPORT_STREAM_PARSER_H_
#define TRANSPORT_STREAM_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

namespace papayaplank {

// Events that a chunk of the stream completed.
struct CompletedEvents {
  // Complete events, byte for byte as received.
  std::string events;
  // Every event with data counts as a token, except those that only report a
  // cost and the closing event.
  int tokens = 0;
};

// Parses one stream.
class StreamParser {
 public:
  // A longer event makes the stream invalid (`is_too_long`).
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Appends bytes and returns the events that they complete. Bytes after the
  // closing event are dropped. A cost event is held back until a token or the
  // closing event follows: a target that continues the stream sends it again.
  auto Feed(std::string_view bytes) -> CompletedEvents;

  // Whether the closing event "data: [DONE]" was received.
  auto is_done() const -> bool { return is_done_; }
  auto is_too_long() const -> bool {
    return partial_event_.size() + held_events_.size() > kMaxEventBytes;
  }
  // Cost that the stream reported in a `usage` member, in cost units.
  auto reported_cost() const -> std::optional<double> { return reported_cost_; }

 private:
  auto ProcessEvent(std::string_view event, CompletedEvents& completed) -> void;

  // The beginning of an event that is not complete.
  std::string partial_event_;
  // A cost event and the events without data after it.
  std::string held_events_;
  bool is_done_ = false;
  std::optional<double> reported_cost_;
};

// Cost of a complete JSON answer from its `usage` member, if it has one, in
// cost units.
auto ParseAnswerCost(std::string_view body) -> std::optional<double>;

}  // namespace papayaplank

#endif  // TRANSPORT_STREAM_PARSER_H_
