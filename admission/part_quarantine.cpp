// Evidence for and against parts, verdicts, and their exchange.
#include "admission/part_quarantine.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace papayaplank {
namespace {

// Crashes closer together than this may have one cause outside of the prompts,
// such as the loss of a rack. They form one round.
constexpr Duration kRoundTime = milliseconds(300);
// Evidence for a verdict: so many rounds, or crashes in two rounds or more.
// More is needed against a part that was seen to be sound before.
constexpr std::size_t kRounds = 3;
constexpr std::size_t kCrashes = 4;
constexpr std::size_t kMoreIfOnceSound = 1;
// Least rounds for a verdict of many crashes.
constexpr std::size_t kLeastRounds = 2;
// So many targets that crash at the moment of a crash, without the part, speak
// for another cause. Such crashes count only in this many rounds.
constexpr std::size_t kCompany = 2;
constexpr std::size_t kRoundsInCompany = 6;
// Crashes after which requests with a part are not repeated.
constexpr std::size_t kSuspectedCrashes = 2;
// From the first crash that counts until a verdict: other routers have heard of
// the suspicion and told of sound runs.
constexpr Duration kObjectionTime = milliseconds(1500);
// Time after the newest crash at which one request with a quarantined part is
// tried. It doubles with each failed try.
constexpr Duration kFirstProbeDelay = seconds(60);
constexpr int kMaxProbeDoublings = 4;
// Crashes further apart than this are those of single tries.
constexpr Duration kProbeGap = seconds(30);
// Time for a tried request to show whether the part is still fatal.
constexpr Duration kProbeTime = seconds(15);
// Evidence without a verdict, and a quarantine, end this long after the newest
// crash.
constexpr Duration kEvidenceLifetime = seconds(120);
constexpr Duration kQuarantineLifetime = seconds(1800);
// Evidence that others send shortly before they forget it is not taken up
// again.
constexpr Duration kMergeMargin = seconds(5);
// A cleared part is remembered this long, as older evidence may still arrive.
constexpr Duration kClearedLifetime = seconds(10);
// Bounds of memory.
constexpr std::size_t kMaxEntries = 512;
constexpr std::size_t kMaxQuarantined = 64;
constexpr std::size_t kMaxCrashes = 8;
constexpr std::size_t kMaxKnownCrashes = 128;
constexpr std::size_t kMaxSoundRuns = 4096;
constexpr Duration kSoundRunLifetime = seconds(600);
// How often, and at which intervals, a change is sent.
constexpr int kSendsPerChange = 3;
constexpr Duration kSendInterval = milliseconds(200);
constexpr Duration kRepeatInterval = seconds(1);
constexpr std::size_t kMaxRecordsPerMessage = 16;

}  // namespace

auto SharedParts(const std::vector<PromptPart>& parts) -> std::vector<PartId> {
  std::vector<PartId> shared;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    shared.push_back(parts[i].id);
  }
  return shared;
}

auto PartQuarantine::CountRounds(const std::vector<Crash>& crashes)
    -> std::size_t {
  std::size_t rounds = 0;
  Time round_began{};
  for (const auto& crash : crashes) {
    if (rounds > 0 && crash.at - round_began < kRoundTime) continue;
    ++rounds;
    round_began = crash.at;
  }
  return rounds;
}

auto PartQuarantine::HasCrash(const std::vector<Crash>& crashes,
                              std::uint64_t process) -> bool {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [process](const Crash& crash) { return crash.process == process; });
}

auto PartQuarantine::IsSubset(const std::vector<Crash>& crashes,
                              const std::vector<Crash>& of) -> bool {
  return std::all_of(crashes.begin(), crashes.end(), [&of](const Crash& crash) {
    return HasCrash(of, crash.process);
  });
}

auto PartQuarantine::ToRecord(PartId part, const Entry& entry, Time now)
    -> PartRecord {
  PartRecord record;
  record.part = part;
  record.is_quarantined = entry.is_quarantined;
  for (const auto& crash : entry.crashes) {
    record.crashes.push_back({crash.process, now - crash.at});
  }
  if (entry.sound) {
    record.sound =
        PartRecord::SoundRun{entry.sound->id, now - entry.sound->began_at};
  }
  return record;
}

auto PartQuarantine::MakeSoundRun(Time began_at) -> SoundRun {
  return SoundRun{random_.Index(std::numeric_limits<std::uint32_t>::max()),
                  began_at};
}

auto PartQuarantine::MarkChanged(Entry& entry, Time now) -> void {
  entry.touched_at = now;
  entry.changed_at = now;
  entry.times_sent = 0;
}

auto PartQuarantine::EvictLeast() -> void {
  const auto is_less = [](const Entry& a, const Entry& b) {
    if (a.crashes.size() != b.crashes.size()) {
      return a.crashes.size() < b.crashes.size();
    }
    return a.touched_at < b.touched_at;
  };
  auto least = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->second.is_quarantined) continue;
    if (least == entries_.end() || is_less(it->second, least->second)) {
      least = it;
    }
  }
  if (least != entries_.end()) entries_.erase(least);
}

auto PartQuarantine::FindOrAdd(PartId part, Time now) -> Entry* {
  const auto found = entries_.find(part);
  if (found != entries_.end()) return &found->second;
  if (entries_.size() >= kMaxEntries) EvictLeast();
  if (entries_.size() >= kMaxEntries) return nullptr;
  auto& entry = entries_[part];
  entry.touched_at = now;
  return &entry;
}

auto PartQuarantine::AddCrash(Entry& entry, const Crash& crash) -> bool {
  if (entry.sound && crash.at <= entry.sound->began_at) return false;
  if (HasCrash(entry.crashes, crash.process)) return false;
  const auto place = std::upper_bound(
      entry.crashes.begin(), entry.crashes.end(), crash,
      [](const Crash& a, const Crash& b) { return a.at < b.at; });
  entry.crashes.insert(place, crash);
  if (entry.crashes.size() > kMaxCrashes) {
    entry.crashes.erase(entry.crashes.begin());
  }
  return true;
}

auto PartQuarantine::AddSoundRun(PartId part, Entry& entry, const SoundRun& run)
    -> bool {
  if (entry.sound &&
      (entry.sound->id == run.id || entry.sound->began_at >= run.began_at)) {
    return false;
  }
  entry.sound = run;
  std::erase_if(entry.crashes, [&run](const Crash& crash) {
    return crash.at <= run.began_at;
  });
  if (entry.is_quarantined && entry.crashes.empty()) Release(part, entry);
  return true;
}

auto PartQuarantine::IsExplained(std::uint64_t process) const -> bool {
  if (quarantined_count_ == 0) return false;
  return std::any_of(entries_.begin(), entries_.end(),
                     [process](const auto& item) {
                       return item.second.is_quarantined &&
                              HasCrash(item.second.crashes, process);
                     });
}

auto PartQuarantine::RecordCrash(std::uint64_t process,
                                 const std::set<PartId>& parts, Time crashed_at,
                                 Time now) -> void {
  NoteCrash({process, crashed_at});
  std::vector<PartId> blamed(parts.begin(), parts.end());
  const auto is_quarantined = [this](PartId part) {
    return FindQuarantined({part}).has_value();
  };
  // A quarantined part explains the crash; the others are not blamed.
  if (std::any_of(blamed.begin(), blamed.end(), is_quarantined)) {
    std::erase_if(blamed, [&](PartId part) { return !is_quarantined(part); });
  } else if (IsExplained(process)) {
    return;
  }
  for (const auto part : blamed) {
    const auto sound = sound_runs_.find(part);
    const auto was_sound = sound != sound_runs_.end();
    if (was_sound && sound->second >= crashed_at) continue;
    auto* entry = FindOrAdd(part, now);
    if (entry == nullptr) continue;
    if (was_sound && !entry->sound) {
      entry->sound = MakeSoundRun(sound->second);
    }
    if (AddCrash(*entry, {process, crashed_at})) MarkChanged(*entry, now);
    if (entry->is_quarantined) ExplainCrashes(part);
  }
}

auto PartQuarantine::RememberSoundRun(PartId part, Time began_at) -> void {
  if (sound_runs_.size() >= kMaxSoundRuns && sound_runs_.count(part) == 0) {
    std::vector<Time> times;
    times.reserve(sound_runs_.size());
    for (const auto& [id, time] : sound_runs_) times.push_back(time);
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const auto limit = *middle;
    std::erase_if(sound_runs_,
                  [limit](const auto& run) { return run.second <= limit; });
  }
  auto& newest = sound_runs_[part];
  newest = std::max(newest, began_at);
}

auto PartQuarantine::RecordSoundRun(const std::vector<PartId>& parts,
                                    Time began_at, Time now) -> void {
  newest_sound_run_ = std::max(newest_sound_run_, began_at);
  for (const auto part : parts) {
    RememberSoundRun(part, began_at);
    const auto found = entries_.find(part);
    if (found == entries_.end()) continue;
    auto& entry = found->second;
    const auto had_crashes = !entry.crashes.empty();
    const auto is_news = AddSoundRun(part, entry, MakeSoundRun(began_at));
    // Others need to hear of it only if it clears a suspect.
    if (is_news && had_crashes) MarkChanged(entry, now);
  }
}

auto PartQuarantine::Merge(const std::vector<PartRecord>& records,
                           bool passes_on, Time now) -> void {
  for (const auto& record : records) MergeRecord(record, passes_on, now);
}

auto PartQuarantine::MergeRecord(const PartRecord& record, bool passes_on,
                                 Time now) -> void {
  auto* entry = FindOrAdd(record.part, now);
  if (entry == nullptr) return;
  auto is_news = false;
  if (record.sound) {
    const SoundRun run{record.sound->id, now - record.sound->age};
    is_news = AddSoundRun(record.part, *entry, run);
  }
  const auto lifetime =
      record.is_quarantined ? kQuarantineLifetime : kEvidenceLifetime;
  for (const auto& crash : record.crashes) {
    if (crash.age > lifetime - kMergeMargin) continue;
    const Crash known{crash.process, now - crash.age};
    NoteCrash(known);
    if (!record.is_quarantined && IsExplained(crash.process)) continue;
    const auto is_new = AddCrash(*entry, known);
    is_news = is_news || is_new;
  }
  // What this router knows in favour of the part is told to all.
  const auto own = sound_runs_.find(record.part);
  if (own != sound_runs_.end() &&
      AddSoundRun(record.part, *entry, MakeSoundRun(own->second))) {
    MarkChanged(*entry, now);
  }
  if (record.is_quarantined && !entry->is_quarantined &&
      !entry->crashes.empty()) {
    Quarantine(record.part, *entry, true);
    is_news = true;
  }
  if (is_news) entry->touched_at = now;
  if (is_news && passes_on) MarkChanged(*entry, now);
  if (entry->is_quarantined) ExplainCrashes(record.part);
}

auto PartQuarantine::RecordPause() -> void {
  sound_runs_.clear();
  newest_sound_run_ = {};
  for (auto& [part, entry] : entries_) entry.sound.reset();
}

auto PartQuarantine::NoteCrash(const Crash& crash) -> void {
  const auto is_known = std::any_of(
      known_crashes_.begin(), known_crashes_.end(),
      [&crash](const Crash& known) { return known.process == crash.process; });
  if (is_known) return;
  known_crashes_.push_back(crash);
  if (known_crashes_.size() > kMaxKnownCrashes) known_crashes_.pop_front();
}

auto PartQuarantine::LoneCrashes(const Entry& entry) const
    -> std::vector<Crash> {
  std::vector<Crash> lone;
  for (const auto& crash : entry.crashes) {
    const auto company = std::count_if(
        known_crashes_.begin(), known_crashes_.end(), [&](const Crash& known) {
          const auto apart =
              known.at < crash.at ? crash.at - known.at : known.at - crash.at;
          return apart < kRoundTime && !HasCrash(entry.crashes, known.process);
        });
    if (static_cast<std::size_t>(company) < kCompany) lone.push_back(crash);
  }
  return lone;
}

auto PartQuarantine::IsConvincing(const Entry& entry, Time now) const -> bool {
  if (entry.is_quarantined || entry.crashes.empty()) return false;
  const auto& crashes = entry.crashes;
  if (now - crashes.front().at < kObjectionTime) return false;
  // While no request at all runs, the prompts are not what crashes the targets.
  if (newest_sound_run_ <= crashes.front().at) return false;
  if (CountRounds(crashes) < kLeastRounds) return false;
  const auto lone = LoneCrashes(entry);
  const auto more = entry.sound ? kMoreIfOnceSound : 0;
  const auto rounds = CountRounds(lone);
  return rounds >= kRounds + more ||
         (rounds >= kLeastRounds && lone.size() >= kCrashes + more) ||
         CountRounds(crashes) >= kRoundsInCompany;
}

auto PartQuarantine::Quarantine(PartId part, Entry& entry, bool is_from_peer)
    -> void {
  entry.is_quarantined = true;
  ++quarantined_count_;
  changes_.push_back({part, true, entry.crashes.size(), is_from_peer});
}

auto PartQuarantine::Release(PartId part, Entry& entry) -> void {
  entry.is_quarantined = false;
  --quarantined_count_;
  changes_.push_back({part, false, entry.crashes.size(), false});
}

auto PartQuarantine::ExplainCrashes(PartId part) -> void {
  const auto& cause = entries_.at(part);
  for (auto& [other, entry] : entries_) {
    if (other == part || entry.crashes.empty()) continue;
    const auto is_subset = IsSubset(entry.crashes, cause.crashes);
    const auto is_same =
        is_subset && entry.crashes.size() == cause.crashes.size();
    // Two parts that were starting at each crash can't be told apart, unless
    // one of them was seen to be sound.
    const auto is_tie =
        is_same && entry.sound.has_value() == cause.sound.has_value();
    if (is_tie) continue;
    if (entry.is_quarantined) {
      if (is_subset) {
        entry.crashes.clear();
        Release(other, entry);
      }
      continue;
    }
    std::erase_if(entry.crashes, [&cause](const Crash& crash) {
      return HasCrash(cause.crashes, crash.process);
    });
  }
}

auto PartQuarantine::Tick(Time now) -> void {
  if (entries_.empty()) return;
  DropOld(now);
  while (quarantined_count_ < kMaxQuarantined) {
    // The part with the most crashes first: it may explain those of others.
    auto worst = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
      if (!IsConvincing(it->second, now)) continue;
      const auto is_worse =
          worst == entries_.end() ||
          it->second.crashes.size() > worst->second.crashes.size() ||
          (it->second.crashes.size() == worst->second.crashes.size() &&
           !it->second.sound && worst->second.sound);
      if (is_worse) worst = it;
    }
    if (worst == entries_.end()) return;
    Quarantine(worst->first, worst->second, false);
    MarkChanged(worst->second, now);
    ExplainCrashes(worst->first);
  }
}

auto PartQuarantine::DropOld(Time now) -> void {
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& [part, entry] = *it;
    auto ends_at = entry.touched_at + kClearedLifetime;
    if (!entry.crashes.empty()) {
      ends_at =
          entry.crashes.back().at +
          (entry.is_quarantined ? kQuarantineLifetime : kEvidenceLifetime);
    }
    if (now <= ends_at) {
      ++it;
      continue;
    }
    if (entry.is_quarantined) Release(part, entry);
    it = entries_.erase(it);
  }
  std::erase_if(sound_runs_, [now](const auto& run) {
    return now - run.second > kSoundRunLifetime;
  });
}

auto PartQuarantine::FindQuarantined(const std::vector<PartId>& parts) const
    -> std::optional<PartId> {
  if (quarantined_count_ == 0) return std::nullopt;
  for (const auto part : parts) {
    const auto found = entries_.find(part);
    if (found != entries_.end() && found->second.is_quarantined) return part;
  }
  return std::nullopt;
}

auto PartQuarantine::IsSuspected(const std::vector<PartId>& parts) const
    -> bool {
  return std::any_of(parts.begin(), parts.end(), [this](PartId part) {
    const auto found = entries_.find(part);
    if (found == entries_.end()) return false;
    const auto more = found->second.sound ? kMoreIfOnceSound : 0;
    return LoneCrashes(found->second).size() >= kSuspectedCrashes + more;
  });
}

auto PartQuarantine::TimeToProbe(PartId part, Time now) const -> Duration {
  const auto found = entries_.find(part);
  if (found == entries_.end() || found->second.crashes.empty()) return {};
  const auto& crashes = found->second.crashes;
  auto doublings = 0;
  for (auto i = crashes.size() - 1; i > 0; --i) {
    if (crashes[i].at - crashes[i - 1].at < kProbeGap) break;
    if (++doublings == kMaxProbeDoublings) break;
  }
  auto due = crashes.back().at + kFirstProbeDelay * (1 << doublings);
  if (found->second.probed_at != Time{}) {
    due = std::max(due, found->second.probed_at + kProbeTime);
  }
  return std::max(Duration{}, due - now);
}

auto PartQuarantine::RecordProbe(PartId part, Time now) -> void {
  const auto found = entries_.find(part);
  if (found != entries_.end()) found->second.probed_at = now;
}

auto PartQuarantine::RecordsToSend(Time now) -> std::vector<PartRecord> {
  if (entries_.empty()) return {};
  const auto repeats = now - repeated_at_ >= kRepeatInterval;
  if (repeats) repeated_at_ = now;
  std::vector<Entries::value_type*> due;
  for (auto& item : entries_) {
    const auto& entry = item.second;
    const auto is_changed =
        entry.changed_at != Time{} && entry.times_sent < kSendsPerChange &&
        now - entry.changed_at >= kSendInterval * entry.times_sent;
    if (is_changed || (repeats && entry.is_quarantined)) due.push_back(&item);
  }
  // The most evidence first, should the message not hold all.
  std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
    if (a->second.is_quarantined != b->second.is_quarantined) {
      return a->second.is_quarantined;
    }
    if (a->second.crashes.size() != b->second.crashes.size()) {
      return a->second.crashes.size() > b->second.crashes.size();
    }
    return a->second.changed_at > b->second.changed_at;
  });
  if (due.size() > kMaxRecordsPerMessage) due.resize(kMaxRecordsPerMessage);
  std::vector<PartRecord> records;
  for (auto* item : due) {
    auto& [part, entry] = *item;
    ++entry.times_sent;
    records.push_back(ToRecord(part, entry, now));
  }
  return records;
}

auto PartQuarantine::Quarantined(Time now) const -> std::vector<PartRecord> {
  std::vector<PartRecord> records;
  for (const auto& [part, entry] : entries_) {
    if (entry.is_quarantined) records.push_back(ToRecord(part, entry, now));
  }
  return records;
}

auto PartQuarantine::TakeChanges() -> std::vector<QuarantineChange> {
  return std::exchange(changes_, {});
}

}  // namespace papayaplank
