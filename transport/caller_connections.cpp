// Choice of the connections that are closed to make room.
#include "transport/caller_connections.h"

#include <sys/socket.h>

namespace papayaplank {
namespace {

// A connection that has been silent for less is not closed to make room for a
// new one: its next bytes may be on their way.
constexpr Duration kLeastSilence = milliseconds(250);
// This part of the connections, as a divisor, is kept free. libmicrohttpd does
// not accept at its limit, so there must be room before a caller connects.
constexpr std::size_t kFreePart = 8;

}  // namespace

CallerConnections::~CallerConnections() {
  for (auto* connection : open_) delete connection;
}

auto CallerConnections::Add(int socket) -> CallerConnection* {
  auto* connection =
      new CallerConnection{socket, MonotonicClock::now(), false, false};
  {
    const std::lock_guard lock(mutex_);
    open_.insert(connection);
  }
  MakeRoom();
  return connection;
}

auto CallerConnections::Remove(CallerConnection* connection) -> void {
  const std::lock_guard lock(mutex_);
  if (connection->is_displaced) --displaced_;
  open_.erase(connection);
  delete connection;
}

auto CallerConnections::NoteActivity(CallerConnection& connection,
                                     bool is_answering) -> void {
  const std::lock_guard lock(mutex_);
  connection.active_at = MonotonicClock::now();
  connection.is_answering = is_answering;
}

auto CallerConnections::MakeRoom() -> void {
  const auto now = MonotonicClock::now();
  const std::lock_guard lock(mutex_);
  while (open_.size() - displaced_ >
         max_connections_ - max_connections_ / kFreePart) {
    auto* connection = FindLongestSilent(now);
    if (connection == nullptr) return;
    connection->is_displaced = true;
    ++displaced_;
    // If it fails, the connection has ended already.
    static_cast<void>(shutdown(connection->socket, SHUT_RDWR));
  }
}

auto CallerConnections::FindLongestSilent(Time now) const -> CallerConnection* {
  CallerConnection* longest = nullptr;
  for (auto* connection : open_) {
    if (connection->is_answering || connection->is_displaced) continue;
    if (now - connection->active_at < kLeastSilence) continue;
    if (longest == nullptr || connection->active_at < longest->active_at) {
      longest = connection;
    }
  }
  return longest;
}

}  // namespace papayaplank
