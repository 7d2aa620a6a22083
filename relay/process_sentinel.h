// A connection that is held open to a target while it sends an answer that ends
// with its connection. The system closes both if the process of the target
// ends, whoever listens at its address afterwards.
#ifndef RELAY_PROCESS_SENTINEL_H_
#define RELAY_PROCESS_SENTINEL_H_

#include <memory>
#include <optional>
#include <string_view>

#include "relay/target_connection.h"

namespace papayaplank {

// The connections of a process that ends are closed one after the other; its
// listener may be the last.
inline constexpr Duration kProcessEndTime = milliseconds(20);

// What is known of a target's process after an answer has ended with its
// connection.
enum class ProcessState {
  kAlive,
  kEnded,
  kCrashed,  // Other answers of it have broken off at the same time.
  kUnknown,  // A later process may listen at the address.
};

// Name of a state, as it stands in logs.
auto ProcessStateName(ProcessState state) -> std::string_view;

// Holds one connection until it is destroyed.
class ProcessSentinel : public std::enable_shared_from_this<ProcessSentinel> {
 public:
  // What the sentinel tells of the process that sent an answer.
  enum class Finding {
    kAlive,
    kEnded,
    kUnknown,  // The target took no connection, or closed it while the answer
               // went on.
  };

  explicit ProcessSentinel(asio::io_context& io);
  ~ProcessSentinel();
  ProcessSentinel(const ProcessSentinel&) = delete;
  auto operator=(const ProcessSentinel&) -> ProcessSentinel& = delete;

  auto Connect(const tcp::endpoint& endpoint) -> void;
  // To be asked `kProcessEndTime` after `answer_end`, when the connection of
  // the answer ended.
  auto Examine(Time answer_end) -> Finding;

 private:
  std::shared_ptr<TargetConnection> connection_;
  // Set once the target has accepted the connection.
  std::optional<Time> connected_at_;
  // Set once the connection has ended. It was connected before.
  std::optional<Time> lost_at_;
};

}  // namespace papayaplank

#endif  // RELAY_PROCESS_SENTINEL_H_
