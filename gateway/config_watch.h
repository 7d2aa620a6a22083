// Chooses the routers that watch the configuration in the store, so that the
// load on the store does not grow with the number of routers. Watchers wait
// for changes at the store. The others see new versions in the reports of
// peers, and ask peers how long ago the store confirmed their version as the
// newest.
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

// Determines the watchers and converts replies of peers into confirmations. A
// confirmation dates from the sending of the query, not from the arrival of
// the reply, so it is correct however late a datagram arrives.
class ConfigWatch {
 public:
  explicit ConfigWatch(RouterId self) : self_(std::move(self)) {}

  // Whether this router is one of the watchers. Routers whose store calls fail
  // become watchers only if the calls of all routers fail.
  auto IsWatcher(const std::vector<LivePeer>& peers,
                 bool is_store_failing) const -> bool;
  // Addresses of the peers that are watchers.
  auto WatcherAddresses(const std::vector<LivePeer>& peers,
                        bool is_store_failing) const
      -> std::vector<std::string>;

  // Registers a new query, sent at `now`.
  auto MakeQuery(Time now) -> FreshnessQuery;
  // Time at which the version in the reply was surely the newest; nothing if
  // the reply matches no open query of this router.
  auto HandleReply(const FreshnessReply& reply) -> std::optional<Time>;

 private:
  // Peer addresses of the watchers; an empty string stands for this router.
  auto Watchers(const std::vector<LivePeer>& peers, bool is_store_failing) const
      -> std::vector<std::string>;

  RouterId self_;
  std::uint64_t next_nonce_ = 1;
  // Send times of the open queries, by nonce.
  std::map<std::uint64_t, Time> queries_;
};

}  // namespace papayaplank

#endif  // GATEWAY_CONFIG_WATCH_H_
