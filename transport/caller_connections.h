// The callers' open connections, and which of them are closed to make room for
// new ones. Load pattern: crowds that open connections and send nothing, or
// stop inside a request.
#ifndef TRANSPORT_CALLER_CONNECTIONS_H_
#define TRANSPORT_CALLER_CONNECTIONS_H_

#include <cstddef>
#include <mutex>
#include <unordered_set>

#include "base/base.h"

namespace papayaplank {

// One open connection; owned by `CallerConnections`.
struct CallerConnection {
  int socket = -1;
  // When the caller last sent something that the server was told of.
  Time active_at{};
  // A complete request or an answer is in progress.
  bool is_answering = false;
  // Was shut down to make room.
  bool is_displaced = false;
};

// Thread-safe. A socket stays open from `Add` to `Remove`.
class CallerConnections {
 public:
  explicit CallerConnections(std::size_t max_connections)
      : max_connections_(max_connections) {}
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  auto operator=(const CallerConnections&) -> CallerConnections& = delete;

  auto Add(int socket) -> CallerConnection*;
  auto Remove(CallerConnection* connection) -> void;
  // The caller has sent something, or its answer has ended.
  auto NoteActivity(CallerConnection& connection, bool is_answering) -> void;

  // Shuts down connections that have been silent for longest until there is
  // room for new ones. Those that are answered stay.
  auto MakeRoom() -> void;

 private:
  auto FindLongestSilent(Time now) const -> CallerConnection*;

  const std::size_t max_connections_;
  std::mutex mutex_;
  // Guarded by `mutex_`, with what they point to.
  std::unordered_set<CallerConnection*> open_;
  // Those of `open_` that were shut down.
  std::size_t displaced_ = 0;
};

}  // namespace papayaplank

#endif  // TRANSPORT_CALLER_CONNECTIONS_H_
