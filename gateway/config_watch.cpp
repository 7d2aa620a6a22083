// Ranking of routers and bookkeeping of queries.
#include "gateway/config_watch.h"

#include <functional>

namespace papayaplank {
namespace {

// Watchers at a time; more than one, so that the loss of one delays nothing.
constexpr std::size_t kWatchers = 2;
constexpr std::size_t kMaxOpenQueries = 64;

}  // namespace

auto ConfigWatch::IsWatcher(const std::vector<LivePeer>& peers) const -> bool {
  const auto own_rank = StableHash(self_.value());
  std::size_t ahead = 0;
  for (const auto& peer : peers) {
    if (StableHash(peer.router.value()) > own_rank) ++ahead;
  }
  return ahead < kWatchers;
}

auto ConfigWatch::WatcherAddresses(const std::vector<LivePeer>& peers) const
    -> std::vector<std::string> {
  std::multimap<std::uint64_t, std::string, std::greater<>> ranked;
  ranked.emplace(StableHash(self_.value()), "");
  for (const auto& peer : peers) {
    ranked.emplace(StableHash(peer.router.value()), peer.peer_address);
  }
  std::vector<std::string> addresses;
  std::size_t rank = 0;
  for (const auto& [hash, address] : ranked) {
    if (rank++ >= kWatchers) break;
    if (!address.empty()) addresses.push_back(address);
  }
  return addresses;
}

auto ConfigWatch::MakeQuery(Time now) -> FreshnessQuery {
  if (queries_.size() >= kMaxOpenQueries) queries_.erase(queries_.begin());
  const FreshnessQuery query{next_nonce_++};
  queries_[query.nonce] = now;
  return query;
}

auto ConfigWatch::Take(const FreshnessReply& reply) -> std::optional<Time> {
  const auto query = queries_.find(reply.nonce);
  if (query == queries_.end()) return std::nullopt;
  const auto as_of = query->second - reply.age;
  queries_.erase(query);
  return as_of;
}

}  // namespace papayaplank
