// The eras of the store, and what its rows say about what is known already.
// Load pattern: a drill, in which the store is away for a moment and comes back
// from a copy some seconds old, while routers read it, are cut off from it or
// start.
#ifndef ROUTING_STORE_ERAS_H_
#define ROUTING_STORE_ERAS_H_

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace papayaplank {

// What an answer of the store, or a message of another router, tells.
enum class EraNews {
  kCurrent,  // It belongs to the current era.
  kNew,      // A new era has begun with it.
  kStale,    // It belongs to an older era, and its versions mean nothing now.
};

// A change of era, for the log.
struct EraChange {
  StoreEra before;
  StoreEra now;
  // Another router told of it.
  bool is_from_peer = false;
  // Newest version that this router has seen in the era before.
  std::uint64_t last_version = 0;
};

// The store numbers its eras; each return from a copy begins the next one.
// Versions are ordered within an era only. While an era settles, the operator
// and the targets write again what the store has lost, so that rows may be
// older than what is known, and may be missing.
class StoreEras {
 public:
  // An answer to a call that was sent at `sent_at`. It states its era, or
  // nothing if the store doesn't number its eras.
  auto RecordAnswer(std::optional<StoreEra> stated, Time sent_at, Time now)
      -> EraNews;
  // A message of another router that names its era; 0 if it knows none.
  auto RecordPeer(StoreEra era, Time now) -> EraNews;
  // An answer of the current era has shown this version of the store.
  auto RecordVersion(std::uint64_t version) -> void;

  // 0 until an era is known.
  auto current() const -> StoreEra { return current_; }
  // How often this router has seen the era change.
  auto changes() const -> std::uint64_t { return changes_; }
  // Whether the store may not have all rows again yet.
  auto IsSettling(Time now) const -> bool;
  // Whether the store may not have had all rows at that moment of this era.
  auto WasSettling(Time at) const -> bool;
  // How much longer; zero if the era has settled.
  auto SettlingTimeLeft(Time now) const -> Duration;
  // Whether a row of this version was surely written in the current era.
  auto IsOfCurrentEra(std::uint64_t row_version) const -> bool;
  // Rows of at most this version may come from the copy. Nothing once the era
  // has settled.
  auto DoubtfulVersion(Time now) const -> std::optional<std::uint64_t>;

  // The change since the last call, if there was one.
  auto TakeChange() -> std::optional<EraChange>;
  // Whether an era has settled since the last call.
  auto TakeSettled(Time now) -> bool;

 private:
  auto Begin(StoreEra era, bool is_from_peer, Time now) -> EraNews;

  StoreEra current_;
  // Something is known of the current era: its number, or a version of a store
  // that doesn't number its eras. The first number before that is no change.
  bool is_known_ = false;
  std::uint64_t changes_ = 0;
  Time changed_at_{};
  bool is_settled_ = true;
  // Lowest and newest version seen in the current era.
  std::optional<std::uint64_t> first_version_;
  std::uint64_t last_version_ = 0;
  // Since when all answers have stated an older era, if they do.
  std::optional<Time> older_since_;
  // The latest era that the store itself went back from. Other routers may go
  // on naming it for a while.
  StoreEra abandoned_;
  std::optional<EraChange> change_;
};

}  // namespace papayaplank

#endif  // ROUTING_STORE_ERAS_H_
