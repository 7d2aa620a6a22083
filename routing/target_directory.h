// The known targets, from rows in the store and updates by other routers.
#ifndef ROUTING_TARGET_DIRECTORY_H_
#define ROUTING_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// A target as its row describes it.
struct TargetRow {
  TargetId id;
  // IP address and port.
  std::string address;
  PoolId pool;
  DataCenterId data_center;
  int slots = 1;
  bool is_draining = false;
  // Start of the target's process, Unix milliseconds; 0 if not stated.
  std::int64_t started_unix_ms = 0;
  // How much longer it is cold, as of the read of the row.
  Duration cold_left{};
  // Number of reports that the target has written to the store since its start.
  // If the start is not stated, a lower one shows that it restarted.
  std::int64_t reports = 0;
  // Version of the store at which the row was written; 0 if not known.
  std::uint64_t version = 0;
};

// One change of a target that a router has read from the store.
struct TargetUpdate {
  // Version of the store at that read.
  std::uint64_t version = 0;
  bool is_gone = false;
  // If the target is gone, only the id is meaningful.
  TargetRow row;
};

// All target rows of the store, from one complete read.
struct TargetList {
  std::vector<TargetRow> rows;
  // Version of the store that the rows belong to.
  std::uint64_t version = 0;
  // Rows expire during a store outage and return soon after it; until then a
  // missing row does not mean that the target is gone.
  bool is_store_recovering = false;
  // After the store came back from an older copy: rows up to this version may
  // be older than what is known. Nothing if no row is.
  std::optional<std::uint64_t> doubtful_version{};
};

// Changes in the directory by a target list or a target update.
struct DirectoryChange {
  // Targets that no longer take new requests: removed or draining.
  std::vector<TargetId> left;
  // Targets that restarted under the same id and lost all state.
  std::vector<TargetId> restarted;
  std::vector<TargetId> joined;
  // The changes of a list, to be reported to other routers.
  std::vector<TargetUpdate> updates;
};

// The targets by id. Store versions put lists and updates in order, within one
// era of the store.
class TargetDirectory {
 public:
  // Applies a complete list. One that is older than the newest list changes
  // nothing.
  auto Apply(const TargetList& list) -> DirectoryChange;
  // Applies a change that another router has read. One that is not newer than
  // the newest list or the newest update of the target changes nothing, but for
  // the removal of a target that the newest list lacks, too.
  auto Apply(const TargetUpdate& update) -> DirectoryChange;

  // The store has come back from an older copy. What is known stays, and what
  // the new era shows replaces it, but for doubtful rows.
  auto BeginEra() -> void;

  // The process said itself that it leaves: neither it nor an earlier one gets
  // new requests, whatever its row says.
  auto RecordDeparture(const TargetId& id, std::int64_t started_unix_ms)
      -> void;

  // The data centres whose targets get no new requests.
  auto SetEvacuated(std::set<DataCenterId> data_centers) -> void;

  // Targets of a pool that take new requests.
  auto Serving(const PoolId& pool) const -> const std::vector<TargetRow>&;
  auto Find(const TargetId& id) const -> const TargetRow*;
  // The targets of the data centre, also those that take no requests.
  auto IdsIn(const DataCenterId& data_center) const -> std::vector<TargetId>;
  // Whether the update takes the target out of service, and it is out of
  // service here.
  auto ConfirmsDeparture(const TargetUpdate& update) const -> bool;
  // Whether a row that may come from an older copy of the store tells something
  // new: of a target that is not known and was not removed, of a later process,
  // or that the known one drains.
  auto IsPlausible(const TargetRow& row) const -> bool;
  auto size() const -> std::size_t { return targets_.size(); }
  // Whether there are targets that the newest list lacks.
  auto has_missing_targets() const -> bool { return !missing_.empty(); }
  // Whether the target's process has announced its exit, by its row or itself;
  // known also after the row has been removed.
  auto HasAnnouncedExit(const TargetRow& row) const -> bool;
  // Number of known targets that said themselves that they leave.
  auto departed_count() const -> std::size_t;
  // All targets as updates, for the snapshot to another router.
  auto AsUpdates() const -> std::vector<TargetUpdate>;

 private:
  // Adds or replaces the row and notes the change.
  auto Upsert(TargetRow row, DirectoryChange& change) -> void;
  auto Remove(const TargetId& id, DirectoryChange& change) -> void;
  // Whether the update tells that a target, which is missing in the newest
  // list, is gone, and is newer than what last named the target.
  auto ConfirmsMissing(const TargetUpdate& update) const -> bool;
  // Whether other routers need an update for the row.
  auto IsChanged(const TargetRow& row) const -> bool;
  // Whether the target's process said itself that it leaves.
  auto HasDeparted(const TargetRow& row) const -> bool;
  auto RebuildPools() -> void;

  std::map<TargetId, TargetRow> targets_;
  // Id and start time of targets that were draining. A later row that is not
  // draining does not put the same process back in service.
  std::set<std::pair<TargetId, std::int64_t>> drained_;
  // Newest process of a target that said that it leaves, by its start.
  std::map<TargetId, std::int64_t> departed_;
  std::set<DataCenterId> evacuated_;
  // Exactly the targets that are not draining, have not departed, and are in no
  // evacuated data centre.
  std::map<PoolId, std::vector<TargetRow>> serving_by_pool_;
  // Version of the newest list.
  std::uint64_t list_version_ = 0;
  // The newest update of each target, if it is newer than the newest list.
  std::map<TargetId, TargetUpdate> newer_updates_;
  // Targets that are kept though the newest list lacks them, as their rows may
  // return, by the version of what last named them.
  std::map<TargetId, std::uint64_t> missing_;
  // Start of the newest process of each target that was removed. An older copy
  // of the store may still have its row.
  std::map<TargetId, std::int64_t> removed_;
};

}  // namespace papayaplank

#endif  // ROUTING_TARGET_DIRECTORY_H_
