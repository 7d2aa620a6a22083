// Which routers read the configuration from the store, so that the calls do
// not grow with the number of routers. Watchers wait for changes at the store;
// the others hear of versions in reports, and ask peers how fresh these are.
#ifndef GATEWAY_CONFIG_WATCH_H_
#define GATEWAY_CONFIG_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"

namespace papayaplank {

// Names the watchers, and turns peers' answers into confirmations that hold
// however late a datagram arrives: a reply shows what was true when the query
// was sent, not when the reply came.
class ConfigWatch {
 public:
  explicit ConfigWatch(RouterId self) : self_(std::move(self)) {}

  // Whether this router is one of the watchers. Routers that the store fails
  // are left out while others are not.
  auto IsWatcher(const std::vector<LivePeer>& peers,
                 bool is_store_failing) const -> bool;
  // Peers that are watchers.
  auto WatcherAddresses(const std::vector<LivePeer>& peers,
                        bool is_store_failing) const
      -> std::vector<std::string>;

  auto MakeQuery(Time now) -> FreshnessQuery;
  // The moment as of which the peer's version was the newest; nothing if the
  // reply answers no query of this router.
  auto HandleReply(const FreshnessReply& reply) -> std::optional<Time>;

 private:
  // Peer addresses of the watchers; empty for this router.
  auto Watchers(const std::vector<LivePeer>& peers, bool is_store_failing) const
      -> std::vector<std::string>;

  RouterId self_;
  std::uint64_t next_nonce_ = 1;
  // When each query that may still be answered was sent.
  std::map<std::uint64_t, Time> queries_;
};

}  // namespace papayaplank

#endif  // GATEWAY_CONFIG_WATCH_H_
