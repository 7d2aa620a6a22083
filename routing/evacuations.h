// The data centres that the operator has evacuated. Load pattern: a data centre
// is emptied and taken back under load, and routers learn of both in any order.
#ifndef ROUTING_EVACUATIONS_H_
#define ROUTING_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// Whether a data centre is evacuated as of a version of the store, in its
// current era.
struct EvacuationRecord {
  DataCenterId data_center;
  std::uint64_t version = 0;
  bool is_evacuated = false;
};

// Newest record by data centre. Records of several readers may arrive in any
// order and more than once.
class Evacuations {
 public:
  // Whether the record is newer than the known one and differs from it. The
  // first record of a data centre that is not evacuated is no change.
  auto Merge(const EvacuationRecord& record) -> bool;
  // A complete list of the evacuated data centres as of the version: all others
  // are not evacuated. Returns the records that are changes.
  auto ApplyList(const std::vector<EvacuationRecord>& evacuated,
                 std::uint64_t version) -> std::vector<EvacuationRecord>;

  // The store has come back from an older copy. What is known stays, and any
  // record of the new era replaces it.
  auto BeginEra() -> void;

  auto IsEvacuated(const DataCenterId& data_center) const -> bool;
  auto Evacuated() const -> std::set<DataCenterId>;
  // All known records, also of data centres that were taken back. The version
  // is 0 if the current era of the store has not shown the record yet.
  auto Records() const -> std::vector<EvacuationRecord>;

 private:
  // A data centre beyond this number of records replaces one that is not
  // evacuated, or is not recorded.
  static constexpr std::size_t kMaxRecords = 256;

  std::map<DataCenterId, EvacuationRecord> records_;
  // Of the newest list.
  std::uint64_t list_version_ = 0;
};

}  // namespace papayaplank

#endif  // ROUTING_EVACUATIONS_H_
