// Ranks the routers by hash and matches replies with queries.
#include "gateway/config_watch.h"

#include <algorithm>
#include <functional>

namespace papayaplank {
namespace {

// More than one, so that a new version is not delayed when a watcher fails.
constexpr std::size_t kWatcherCount = 2;
// Beyond it, the oldest query is dropped; its reply was probably lost.
constexpr std::size_t kMaxOpenQueries = 64;

}  // namespace

auto ConfigWatch::Watchers(const std::vector<LivePeer>& peers,
                           bool is_store_failing) const
    -> std::vector<std::string> {
  using Ranked = std::multimap<std::uint64_t, std::string, std::greater<>>;
  Ranked healthy;
  Ranked failing;
  (is_store_failing ? failing : healthy).emplace(StableHash(self_.value()), "");
  for (const auto& peer : peers) {
    (peer.is_store_failing ? failing : healthy)
        .emplace(StableHash(peer.router.value()), peer.peer_address);
  }
  std::vector<std::string> watchers;
  for (const auto& [rank, address] : healthy.empty() ? failing : healthy) {
    if (watchers.size() < kWatcherCount) watchers.push_back(address);
  }
  return watchers;
}

auto ConfigWatch::IsWatcher(const std::vector<LivePeer>& peers,
                            bool is_store_failing) const -> bool {
  const auto watchers = Watchers(peers, is_store_failing);
  return std::count(watchers.begin(), watchers.end(), "") != 0;
}

auto ConfigWatch::WatcherAddresses(const std::vector<LivePeer>& peers,
                                   bool is_store_failing) const
    -> std::vector<std::string> {
  auto watchers = Watchers(peers, is_store_failing);
  std::erase(watchers, "");
  return watchers;
}

auto ConfigWatch::MakeQuery(Time now) -> FreshnessQuery {
  if (queries_.size() >= kMaxOpenQueries) queries_.erase(queries_.begin());
  const FreshnessQuery query{next_nonce_++};
  queries_[query.nonce] = now;
  return query;
}

auto ConfigWatch::HandleReply(const FreshnessReply& reply)
    -> std::optional<Time> {
  const auto query = queries_.find(reply.nonce);
  if (query == queries_.end()) return std::nullopt;
  const auto as_of = query->second - reply.age;
  queries_.erase(query);
  return as_of;
}

}  // namespace papayaplank
