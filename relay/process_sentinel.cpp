// Holding of the connection, and what its end means.
#include "relay/process_sentinel.h"

namespace papayaplank {

auto ProcessStateName(ProcessState state) -> std::string_view {
  switch (state) {
    case ProcessState::kAlive:
      return "alive";
    case ProcessState::kEnded:
      return "ended";
    case ProcessState::kCrashed:
      return "crashed";
    case ProcessState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ProcessSentinel::ProcessSentinel(asio::io_context& io)
    : connection_(std::make_shared<TargetConnection>(io)) {}

ProcessSentinel::~ProcessSentinel() { connection_->Close(); }

auto ProcessSentinel::Connect(const tcp::endpoint& endpoint) -> void {
  connection_->Connect(endpoint, [weak = weak_from_this()](bool is_connected) {
    const auto self = weak.lock();
    if (self == nullptr || !is_connected) return;
    self->connected_at_ = MonotonicClock::now();
    self->connection_->MarkIdle([weak] {
      const auto sentinel = weak.lock();
      if (sentinel != nullptr) sentinel->lost_at_ = MonotonicClock::now();
    });
  });
}

auto ProcessSentinel::Examine(Time answer_end) -> Finding {
  if (!connected_at_) return Finding::kUnknown;
  if (!lost_at_) {
    // Otherwise another process may have accepted it.
    const auto is_older = *connected_at_ < answer_end;
    if (!is_older) return Finding::kUnknown;
    return connection_->HasUnexpectedInput() ? Finding::kEnded
                                             : Finding::kAlive;
  }
  // A target that is full closes new connections at once.
  const auto was_held = *lost_at_ - *connected_at_ >= kProcessEndTime;
  const auto is_same_end = *lost_at_ >= answer_end - kProcessEndTime;
  return was_held && is_same_end ? Finding::kEnded : Finding::kUnknown;
}

}  // namespace papayaplank
