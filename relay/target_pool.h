// Connections to targets, kept for later requests.
#ifndef RELAY_TARGET_POOL_H_
#define RELAY_TARGET_POOL_H_

#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

#include "relay/target_connection.h"
#include "routing/routing.h"

namespace papayaplank {

// Idle connections by target; owned by one task.
class TargetPool {
 public:
  explicit TargetPool(asio::io_context& io) : io_(io) {}

  // An idle connection that is surely still open for the target, else a new
  // one. Null if the target's address is unusable.
  auto Take(const TargetRow& target, Time now)
      -> std::shared_ptr<TargetConnection>;
  // Keeps a connection whose answer was complete, for as long as the target
  // does; closes it if that is not known to last, or if `max_idle` are kept.
  auto Return(const TargetRow& target,
              const std::shared_ptr<TargetConnection>& connection,
              std::optional<Duration> keep_alive, std::size_t max_idle,
              Time now) -> void;
  // Closes idle connections of a target that has left or started anew.
  auto Drop(const TargetId& target) -> void;
  auto CloseExpired(Time now) -> void;

  auto opened() const -> std::uint64_t { return opened_; }

 private:
  struct Idle {
    std::shared_ptr<TargetConnection> connection;
    Time usable_until{};
  };
  struct Target {
    std::string address;
    std::list<Idle> idle;
  };

  asio::io_context& io_;
  std::unordered_map<TargetId, Target> targets_;
  std::uint64_t opened_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_TARGET_POOL_H_
