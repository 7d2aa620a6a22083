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

// What changed with a listing.
struct DirectoryChange {
  // Targets that take no new request from now on.
  std::vector<TargetId> left;
  // Targets that started anew under the same id and know nothing of before.
  std::vector<TargetId> restarted;
  std::vector<TargetId> joined;
};

// Rows lapse while the store is away, so a row that is missing right after an
// outage counts as gone only when the grace has passed.
class TargetDirectory {
 public:
  // Takes a complete listing that was read at `now`. A gap of more than
  // `kOutageGap` since the last one counts as an outage of the store.
  auto Apply(const std::vector<TargetRow>& rows, Time now) -> DirectoryChange;

  // Targets of a service that take new requests.
  auto Serving(const PoolId& pool) const -> const std::vector<TargetRow>&;
  auto Find(const TargetId& id) const -> const TargetRow*;
  auto size() const -> std::size_t { return targets_.size(); }

  // Longest time between listings that is no outage; source: three times the
  // period at which the router reads the listing.
  static constexpr Duration kOutageGap = milliseconds(2000);
  // Source: rows of living targets return within two seconds of the store.
  static constexpr Duration kOutageGrace = milliseconds(2300);

 private:
  auto RebuildPools() -> void;

  std::map<TargetId, TargetRow> targets_;
  // Ids that were seen draining; a late row never revives them.
  std::set<std::pair<TargetId, std::int64_t>> drained_;
  // Exactly the targets that do not drain, by service.
  std::map<PoolId, std::vector<TargetRow>> by_pool_;
  Time listed_at_{};
  Time grace_until_{};
};

}  // namespace papayaplank

#endif  // ROUTING_TARGET_DIRECTORY_H_
