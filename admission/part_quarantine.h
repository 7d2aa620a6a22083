// Finds prompt parts that crash targets, and holds back the requests that
// contain them. Load pattern: a query of death, which each router meets once
// and which ends one target after the other.
#ifndef ADMISSION_PART_QUARANTINE_H_
#define ADMISSION_PART_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "admission/cached_prefixes.h"
#include "base/base.h"

namespace papayaplank {

using PartId = std::uint64_t;

// The parts of a prompt that other requests may contain: all but the last.
auto SharedParts(const std::vector<PromptPart>& parts) -> std::vector<PartId>;

// What routers tell each other about a part. Ages are as of the sending.
struct PartRecord {
  // The end of a target process while requests with the part were starting.
  struct Crash {
    // Names the process; the same at all routers.
    std::uint64_t process = 0;
    Duration age{};
  };
  // An answer that went on after it had begun.
  struct SoundRun {
    // Chosen by the router that saw it, so that a copy that comes back through
    // others is not taken for a newer run.
    std::uint64_t id = 0;
    // Since the answer began.
    Duration age{};
  };

  PartId part = 0;
  bool is_quarantined = false;
  // Oldest first; none before the newest sound run.
  std::vector<Crash> crashes;
  std::optional<SoundRun> sound;
};

// A change to be logged.
struct QuarantineChange {
  PartId part = 0;
  bool is_quarantined = false;
  std::size_t crashes = 0;
  // Decided by another router.
  bool is_from_peer = false;
};

// Evidence and verdicts of one router. Records only grow towards newer
// evidence, so the order in which they arrive does not matter.
//
// A fatal part crashes every target that begins to answer it. Hence one sound
// run clears a part of all crashes before it, and crashes count only if nothing
// cleared the part since. Of targets that crash for another reason, different
// parts are starting each time; those that crash at the same moment without the
// part show that it is not the only cause.
class PartQuarantine {
 public:
  explicit PartQuarantine(std::uint64_t seed) : random_(seed) {}

  // A target process ended while requests with these parts were starting.
  auto RecordCrash(std::uint64_t process, const std::set<PartId>& parts,
                   Time crashed_at, Time now) -> void;
  // A target began to answer a request with these parts, and did not crash.
  auto RecordSoundRun(const std::vector<PartId>& parts, Time began_at, Time now)
      -> void;
  // Adds the evidence of another router. With `passes_on`, what is new is sent
  // on to others.
  auto Merge(const std::vector<PartRecord>& records, bool passes_on, Time now)
      -> void;
  // The process was paused for an unknown time, so runs may be older than they
  // seem: they no longer count in favour of a part.
  auto RecordPause() -> void;
  // Decides on the evidence, and forgets what is old; called periodically.
  auto Tick(Time now) -> void;

  // The first of the parts that is quarantined.
  auto FindQuarantined(const std::vector<PartId>& parts) const
      -> std::optional<PartId>;
  // Whether one of the parts is likely to be fatal. Requests with it are sent
  // to targets, but not repeated.
  auto IsSuspected(const std::vector<PartId>& parts) const -> bool;
  // Time until a request with the quarantined part may be tried again; zero if
  // one may be tried now.
  auto TimeToProbe(PartId part, Time now) const -> Duration;
  // Counts a try of the part.
  auto RecordProbe(PartId part, Time now) -> void;

  // Records that other routers need now: changes, repeated a few times as
  // datagrams may get lost, and what is quarantined.
  auto RecordsToSend(Time now) -> std::vector<PartRecord>;
  // All quarantined parts.
  auto Quarantined(Time now) const -> std::vector<PartRecord>;
  // Changes since the last call.
  auto TakeChanges() -> std::vector<QuarantineChange>;

  // Number of quarantined parts, and of others with evidence; of these, cleared
  // ones count until they are forgotten.
  auto quarantined_count() const -> std::size_t { return quarantined_count_; }
  auto suspect_count() const -> std::size_t {
    return entries_.size() - quarantined_count_;
  }

 private:
  struct Crash {
    std::uint64_t process = 0;
    Time at{};
  };
  struct SoundRun {
    std::uint64_t id = 0;
    Time began_at{};
  };
  struct Entry {
    // At most `kMaxCrashes`, oldest first; all after `sound`.
    std::vector<Crash> crashes;
    std::optional<SoundRun> sound;
    bool is_quarantined = false;
    // Newest change of any kind.
    Time touched_at{};
    // Newest change that others need, and how often it was sent.
    Time changed_at{};
    int times_sent = 0;
    // Newest try while quarantined.
    Time probed_at{};
  };
  using Entries = std::unordered_map<PartId, Entry>;

  static auto CountRounds(const std::vector<Crash>& crashes) -> std::size_t;
  static auto HasCrash(const std::vector<Crash>& crashes, std::uint64_t process)
      -> bool;
  static auto IsSubset(const std::vector<Crash>& crashes,
                       const std::vector<Crash>& of) -> bool;
  static auto ToRecord(PartId part, const Entry& entry, Time now) -> PartRecord;

  // Null if the table is full of quarantined parts.
  auto FindOrAdd(PartId part, Time now) -> Entry*;
  auto EvictLeast() -> void;
  // Whether the crash is new to the entry and not cleared.
  static auto AddCrash(Entry& entry, const Crash& crash) -> bool;
  // Whether the run is newer than the one known.
  auto AddSoundRun(PartId part, Entry& entry, const SoundRun& run) -> bool;
  auto MergeRecord(const PartRecord& record, bool passes_on, Time now) -> void;
  auto MakeSoundRun(Time began_at) -> SoundRun;
  static auto MarkChanged(Entry& entry, Time now) -> void;
  auto NoteCrash(const Crash& crash) -> void;
  // The crashes at whose moment no two other targets crashed without the part.
  auto LoneCrashes(const Entry& entry) const -> std::vector<Crash>;
  // Whether the crashes of the part suffice for a verdict.
  auto IsConvincing(const Entry& entry, Time now) const -> bool;
  auto Quarantine(PartId part, Entry& entry, bool is_from_peer) -> void;
  auto Release(PartId part, Entry& entry) -> void;
  // Takes the crashes of a quarantined part from the evidence against others.
  auto ExplainCrashes(PartId part) -> void;
  auto IsExplained(std::uint64_t process) const -> bool;
  auto DropOld(Time now) -> void;
  auto RememberSoundRun(PartId part, Time began_at) -> void;

  Random random_;
  Entries entries_;
  // Exactly the entries with `is_quarantined`.
  std::size_t quarantined_count_ = 0;
  // Crashes that this router knows of, with any parts; the newest ones.
  std::deque<Crash> known_crashes_;
  // When the newest sound answer with each part began, seen by this router.
  // Bounded; older ones are dropped first.
  std::unordered_map<PartId, Time> sound_runs_;
  // Start of the newest sound answer of any part that this router saw.
  Time newest_sound_run_{};
  Time repeated_at_{};
  std::vector<QuarantineChange> changes_;
};

}  // namespace papayaplank

#endif  // ADMISSION_PART_QUARANTINE_H_
