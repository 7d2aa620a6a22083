// The targets that serve now, from the store's rows.
#ifndef ROUTING_TARGET_DIRECTORY_H_
#define ROUTING_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A target as its row describes it.
struct TargetRow {
  TargetId id;
  // IP number and port.
  std::string address;
  PoolId pool;
  DataCenterId data_center;
  int slots = 1;
  bool is_draining = false;
  // Start of this incarnation, Unix milliseconds; 0 if not stated.
  std::int64_t started_unix_ms = 0;
  // Reports since the start; falls when the target starts anew.
  std::int64_t reports = 0;
};

// One change of a target, as another router has read it.
struct TargetUpdate {
  // Version of the store at that reading.
  std::uint64_t version = 0;
  bool is_gone = false;
  // Only the id counts if the target is gone.
  TargetRow row;
};

// One complete reading of the targets' rows.
struct TargetList {
  std::vector<TargetRow> rows;
  // Version of the store as of which the rows hold.
  std::uint64_t version = 0;
  // Rows lapse while the store is away and are back soon after its return;
  // until then a missing row does not count as gone.
  bool is_store_recovering = false;
};

// What changed with a listing or with news.
struct DirectoryChange {
  // Targets that take no new request from now on.
  std::vector<TargetId> left;
  // Targets that started anew under the same id and know nothing of before.
  std::vector<TargetId> restarted;
  std::vector<TargetId> joined;
  // The same for other routers.
  std::vector<TargetUpdate> updates;
};

// The targets by id. Versions of the store order listings and news.
class TargetDirectory {
 public:
  // Takes a complete listing; one that is older than what is known changes
  // nothing.
  auto Apply(const TargetList& list) -> DirectoryChange;
  // Takes a change that another router has read.
  auto Apply(const TargetUpdate& update) -> DirectoryChange;

  // Targets of a service that take new requests.
  auto Serving(const PoolId& pool) const -> const std::vector<TargetRow>&;
  auto Find(const TargetId& id) const -> const TargetRow*;
  auto size() const -> std::size_t { return targets_.size(); }
  // All that is known, as news for a router that knows less.
  auto AsUpdates() const -> std::vector<TargetUpdate>;

 private:
  auto Upsert(TargetRow row, DirectoryChange& change) -> void;
  auto Remove(const TargetId& id, DirectoryChange& change) -> void;
  auto IsChanged(const TargetRow& row) const -> bool;
  auto RebuildPools() -> void;

  std::map<TargetId, TargetRow> targets_;
  // Ids that were seen draining; a late row never revives them.
  std::set<std::pair<TargetId, std::int64_t>> drained_;
  // Exactly the targets that do not drain, by service.
  std::map<PoolId, std::vector<TargetRow>> serving_by_pool_;
  // Version of the newest listing.
  std::uint64_t list_version_ = 0;
  // Newest news of each target that is newer than the newest listing.
  std::map<TargetId, TargetUpdate> newer_updates_;
};

}  // namespace papayaplank

#endif  // ROUTING_TARGET_DIRECTORY_H_
