// Selects the changes of targets that are due.
#include "gateway/target_news.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A change is sent with every message for this long, as datagrams may get lost.
constexpr Duration kFreshTime = milliseconds(1000);
// Longer than it takes until dead hubs are replaced and their data centre is
// heard again.
constexpr Duration kRepeatTime = seconds(6);
constexpr Duration kRepeatPeriod = milliseconds(1000);
constexpr Duration kMemory = seconds(60);
constexpr std::size_t kMaxUpdatesPerMessage = 64;

}  // namespace

auto TargetNews::Add(const TargetUpdate& update, bool is_read, Time now)
    -> void {
  auto& entry = entries_[update.row.id];
  const auto is_known =
      entry.learned_at != Time{} && entry.update.version >= update.version;
  if (is_known) return;
  entry = Entry{update, is_read, now, now + kFreshTime, Time{}};
}

auto TargetNews::RepeatDepartures(Time now) -> void {
  for (auto& [target, entry] : entries_) {
    if (!IsDeparture(entry.update)) continue;
    if (now - entry.learned_at <= kRepeatTime) {
      entry.fresh_until = now + kFreshTime;
    }
  }
}

auto TargetNews::IsDue(const Entry& entry, bool passes_on, Time now) -> bool {
  if (!entry.is_read && !passes_on) return false;
  if (now <= entry.fresh_until) return true;
  return IsDeparture(entry.update) && now - entry.learned_at <= kRepeatTime &&
         now - entry.sent_at >= kRepeatPeriod;
}

auto TargetNews::ToSend(bool passes_on, Time now) -> std::vector<TargetUpdate> {
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.learned_at > kMemory;
  });
  std::vector<Entry*> due;
  for (auto& [target, entry] : entries_) {
    if (IsDue(entry, passes_on, now)) due.push_back(&entry);
  }
  std::sort(due.begin(), due.end(), [](const Entry* a, const Entry* b) {
    const auto departs = IsDeparture(a->update);
    if (departs != IsDeparture(b->update)) return departs;
    if (a->sent_at != b->sent_at) return a->sent_at < b->sent_at;
    return a->update.row.id < b->update.row.id;
  });
  if (due.size() > kMaxUpdatesPerMessage) due.resize(kMaxUpdatesPerMessage);
  std::vector<TargetUpdate> updates;
  for (auto* entry : due) {
    entry->sent_at = now;
    updates.push_back(entry->update);
  }
  return updates;
}

}  // namespace papayaplank
