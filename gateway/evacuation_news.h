// Tells other routers which data centres are evacuated, and merges what they
// tell. Load pattern: few routers read the operator's rows, and all have to
// know of a change within seconds, whether or not they reach the store.
#ifndef GATEWAY_EVACUATION_NEWS_H_
#define GATEWAY_EVACUATION_NEWS_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "routing/routing.h"

namespace papayaplank {

// A change of an evacuation, to be logged.
struct EvacuationChange {
  EvacuationRecord record;
  // Another router told of it.
  bool is_from_peer = false;
};

class EvacuationNews {
 public:
  // This router has read the record from the store. Returns whether it changes
  // which data centres are evacuated.
  auto RecordRead(const EvacuationRecord& record, Time now) -> bool;
  // It has read the complete list of evacuated data centres. Returns the
  // changes.
  auto RecordList(const std::vector<EvacuationRecord>& evacuated,
                  std::uint64_t version, Time now)
      -> std::vector<EvacuationRecord>;
  // Another router told of the record. Returns whether it is a change.
  auto RecordHeard(const EvacuationRecord& record, Time now) -> bool;

  // The store has come back from an older copy; see `Evacuations`.
  auto BeginEra() -> void;

  // The records of the current era that a message made now tells. A router
  // tells what it has read itself; with `passes_on`, also what it heard.
  auto ToSend(bool passes_on, Time now) -> std::vector<EvacuationRecord>;

  auto evacuations() const -> const Evacuations& { return evacuations_; }
  // The records that the current era of the store has shown.
  auto Known() const -> std::vector<EvacuationRecord>;
  // Changes since the last call.
  auto TakeChanges() -> std::vector<EvacuationChange> {
    return std::exchange(changes_, {});
  }

 private:
  auto NoteChange(const EvacuationRecord& record, bool is_from_peer, Time now)
      -> void;

  Evacuations evacuations_;
  // Data centres whose newest record this router has read itself.
  std::set<DataCenterId> read_here_;
  // Changes are sent with every message until then.
  std::map<DataCenterId, Time> fresh_until_;
  Time refreshed_at_{};
  std::vector<EvacuationChange> changes_;
};

}  // namespace papayaplank

#endif  // GATEWAY_EVACUATION_NEWS_H_
