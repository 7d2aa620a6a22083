// Pool of idle connections to targets, reused by later requests.
#ifndef RELAY_TARGET_CONNECTION_POOL_H_
#define RELAY_TARGET_CONNECTION_POOL_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>

#include "relay/process_sentinel.h"
#include "relay/target_connection.h"
#include "routing/routing.h"

namespace papayaplank {

// Idle connections by target. Not thread-safe.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(asio::io_context& io) : io_(io) {}

  // Returns a connection that was idle for less than half of the target's
  // keep-alive time and received nothing meanwhile, else opens a new one. Null
  // if the target's address can't be parsed.
  auto Acquire(const TargetRow& target, Time now)
      -> std::shared_ptr<TargetConnection>;
  // Returns a connection to the pool after a complete answer. Closes it if it
  // can't be reused or if `max_idle` connections of the target are idle.
  // `keep_alive` is the idle time that the target stated.
  auto Release(const TargetRow& target,
               const std::shared_ptr<TargetConnection>& connection,
               std::optional<Duration> keep_alive, std::size_t max_idle,
               Time now) -> void;
  // Finds out by a new connection, which is closed again, whether the target
  // accepts connections. Nothing if a check of it is in progress, or if its
  // address can't be parsed.
  auto Check(const TargetRow& target, std::function<void(bool)> on_result)
      -> void;
  // An answer of the target has broken off.
  auto RecordBreak(const TargetId& target, Time now) -> void;
  // Holds a connection while an answer arrives that ends with its connection.
  // Null if the target's address can't be parsed.
  auto OpenSentinel(const TargetRow& target)
      -> std::shared_ptr<ProcessSentinel>;
  // Finds out whether the process of the target lives on after such an answer
  // ended at `now`: no other answer of it has broken off at the same time, and
  // its sentinel, which may be null, is still open. If the sentinel doesn't
  // tell, the target must accept a connection and the end must not be older
  // than it seems (`is_late`). `on_result` is called once.
  auto CheckProcess(const TargetRow& target,
                    std::shared_ptr<ProcessSentinel> sentinel, Time now,
                    std::function<bool()> is_late,
                    std::function<void(ProcessState)> on_result) -> void;
  // Closes the idle connections of a target that has left or restarted.
  auto CloseTarget(const TargetId& target) -> void;
  // Breaks off transfers whose targets are lost; called periodically.
  auto CheckDeliveries(Time now) -> void;
  // Closes idle connections that can't be reused any more.
  auto CloseExpired(Time now) -> void;

  // Connections opened since the start.
  auto opened() const -> std::uint64_t { return opened_; }

 private:
  // An idle connection and the time until which it may be reused.
  struct IdleConnection {
    std::shared_ptr<TargetConnection> connection;
    Time usable_until{};
  };
  // The idle connections of a target, least recently used first.
  struct TargetEntry {
    std::string address;
    std::list<IdleConnection> idle;
  };

  auto FindOrConnect(const TargetRow& target, Time now)
      -> std::shared_ptr<TargetConnection>;
  // Connects to the target; calls `on_result` once with whether it accepted.
  auto Probe(const tcp::endpoint& endpoint, std::function<void(bool)> on_result)
      -> void;
  // Takes the idle connection that was returned last; null if none can be used.
  static auto TakeIdle(std::list<IdleConnection>& idle, Time now)
      -> std::shared_ptr<TargetConnection>;

  asio::io_context& io_;
  std::unordered_map<TargetId, TargetEntry> targets_;
  // Those that carry a request, and some that no longer do.
  std::set<std::weak_ptr<TargetConnection>, std::owner_less<>> in_use_;
  // When an answer of each target broke off last; entries are dropped when they
  // can't matter any more.
  std::unordered_map<TargetId, Time> broken_at_;
  // Targets with a check in progress.
  std::set<TargetId> checked_;
  std::uint64_t opened_ = 0;
};

}  // namespace papayaplank

#endif  // RELAY_TARGET_CONNECTION_POOL_H_
