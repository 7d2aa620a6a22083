// Reuse and expiry of idle connections.
#include "relay/target_connection_pool.h"

#include <algorithm>

#include "relay/socket_options.h"

namespace papayaplank {
namespace {

// Share of the target's keep-alive time after which a connection isn't reused,
// since the target may be closing it.
constexpr double kUsableKeepAliveShare = 0.5;
// Keep-alive time assumed for a target that states none.
constexpr Duration kDefaultKeepAlive = milliseconds(2000);
constexpr std::size_t kMaxIdlePerTarget = 16;

}  // namespace

auto TargetConnectionPool::TakeIdle(std::list<IdleConnection>& idle, Time now)
    -> std::shared_ptr<TargetConnection> {
  for (auto entry = idle.end(); entry != idle.begin();) {
    --entry;
    const auto candidate = *entry;
    entry = idle.erase(entry);
    if (candidate.connection->is_open() && now < candidate.usable_until &&
        !candidate.connection->HasUnexpectedInput()) {
      return candidate.connection;
    }
    candidate.connection->Close();
  }
  return nullptr;
}

auto TargetConnectionPool::Acquire(const TargetRow& target, Time now)
    -> std::shared_ptr<TargetConnection> {
  auto connection = FindOrConnect(target, now);
  if (connection != nullptr) in_use_.insert(connection);
  return connection;
}

auto TargetConnectionPool::FindOrConnect(const TargetRow& target, Time now)
    -> std::shared_ptr<TargetConnection> {
  auto& entry = targets_[target.id];
  if (entry.address != target.address) {
    CloseTarget(target.id);
    targets_[target.id].address = target.address;
  }
  auto kept = TakeIdle(targets_[target.id].idle, now);
  if (kept != nullptr) return kept;
  const auto endpoint = ParseTcpEndpoint(target.address);
  if (!endpoint) return nullptr;
  auto connection = std::make_shared<TargetConnection>(io_);
  connection->Connect(*endpoint);
  ++opened_;
  return connection;
}

auto TargetConnectionPool::Release(
    const TargetRow& target,
    const std::shared_ptr<TargetConnection>& connection,
    std::optional<Duration> keep_alive, std::size_t max_idle, Time now)
    -> void {
  const auto entry = targets_.find(target.id);
  if (!connection->is_reusable() || entry == targets_.end() ||
      entry->second.address != target.address) {
    return connection->Close();
  }
  const auto limit = std::min(max_idle, kMaxIdlePerTarget);
  if (entry->second.idle.size() >= limit) return connection->Close();
  const auto stated = keep_alive.value_or(kDefaultKeepAlive);
  const auto usable = Scale(stated, kUsableKeepAliveShare);
  auto& idle = entry->second.idle;
  idle.push_back(IdleConnection{connection, now + usable});
  connection->MarkIdle([] {});
}

auto TargetConnectionPool::Check(const TargetRow& target,
                                 std::function<void(bool)> on_result) -> void {
  const auto endpoint = ParseTcpEndpoint(target.address);
  if (!endpoint || !checked_.insert(target.id).second) return;
  Probe(*endpoint, [this, id = target.id,
                    on_result = std::move(on_result)](bool is_reachable) {
    checked_.erase(id);
    on_result(is_reachable);
  });
}

auto TargetConnectionPool::RecordBreak(const TargetId& target, Time now)
    -> void {
  broken_at_[target] = now;
}

auto TargetConnectionPool::OpenSentinel(const TargetRow& target)
    -> std::shared_ptr<ProcessSentinel> {
  const auto endpoint = ParseTcpEndpoint(target.address);
  if (!endpoint) return nullptr;
  auto sentinel = std::make_shared<ProcessSentinel>(io_);
  ++opened_;
  sentinel->Connect(*endpoint);
  return sentinel;
}

auto TargetConnectionPool::CheckProcess(
    const TargetRow& target, std::shared_ptr<ProcessSentinel> sentinel,
    Time now, std::function<bool()> is_late,
    std::function<void(ProcessState)> on_result) -> void {
  using Finding = ProcessSentinel::Finding;
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kProcessEndTime);
  timer->async_wait([this, timer, id = target.id, address = target.address,
                     sentinel = std::move(sentinel), now,
                     is_late = std::move(is_late),
                     on_result = std::move(on_result)](error_code error) {
    const auto endpoint = ParseTcpEndpoint(address);
    const auto broken = broken_at_.find(id);
    const auto has_broken =
        broken != broken_at_.end() && broken->second >= now - kProcessEndTime;
    if (error || !endpoint) return on_result(ProcessState::kUnknown);
    if (has_broken) return on_result(ProcessState::kCrashed);
    const auto finding =
        sentinel == nullptr ? Finding::kUnknown : sentinel->Examine(now);
    if (finding == Finding::kAlive) return on_result(ProcessState::kAlive);
    if (is_late()) return on_result(ProcessState::kUnknown);
    if (finding == Finding::kEnded) return on_result(ProcessState::kEnded);
    Probe(*endpoint, [on_result](bool is_reachable) {
      on_result(is_reachable ? ProcessState::kAlive : ProcessState::kEnded);
    });
  });
}

auto TargetConnectionPool::Probe(const tcp::endpoint& endpoint,
                                 std::function<void(bool)> on_result) -> void {
  auto connection = std::make_shared<TargetConnection>(io_);
  ++opened_;
  connection->Connect(endpoint, [connection, on_result = std::move(on_result)](
                                    bool is_reachable) {
    connection->Close();
    on_result(is_reachable);
  });
}

auto TargetConnectionPool::CloseTarget(const TargetId& target) -> void {
  const auto entry = targets_.find(target);
  if (entry == targets_.end()) return;
  for (const auto& idle : entry->second.idle) idle.connection->Close();
  targets_.erase(entry);
}

auto TargetConnectionPool::CheckDeliveries(Time now) -> void {
  // A transfer that breaks off may be followed by one on another connection.
  for (const auto& entry : std::exchange(in_use_, {})) {
    const auto connection = entry.lock();
    if (connection == nullptr || !connection->is_busy()) continue;
    in_use_.insert(entry);
    connection->CheckDelivery(now);
  }
}

auto TargetConnectionPool::CloseExpired(Time now) -> void {
  std::erase_if(broken_at_, [now](const auto& entry) {
    return entry.second < now - 2 * kProcessEndTime;
  });
  for (auto& [id, target] : targets_) {
    std::erase_if(target.idle, [now](const IdleConnection& idle) {
      const auto is_expired =
          now >= idle.usable_until || !idle.connection->is_open();
      if (is_expired) idle.connection->Close();
      return is_expired;
    });
  }
}

}  // namespace papayaplank
