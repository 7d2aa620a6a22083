// Changes of targets that a router tells to others, and for how long.
#ifndef GATEWAY_TARGET_NEWS_H_
#define GATEWAY_TARGET_NEWS_H_

#include <unordered_map>
#include <vector>

#include "routing/routing.h"

namespace papayaplank {

// A router tells what it has read itself; a hub also passes on what it heard.
// Every change is sent for a moment. A departure, after which no request may
// reach the target, is repeated for longer, and sent anew to recipients that
// have changed, as whoever should have passed it on may have died.
class TargetNews {
 public:
  // A change that this router has read from the store.
  auto AddRead(const TargetUpdate& update, Time now) -> void {
    Add(update, true, now);
  }
  // A change that another router told of.
  auto AddHeard(const TargetUpdate& update, Time now) -> void {
    Add(update, false, now);
  }
  // The store has come back from an older copy: the versions of what was told
  // so far mean nothing any more.
  auto BeginEra() -> void { entries_.clear(); }
  // Who gets the messages has changed.
  auto RepeatDepartures(Time now) -> void;
  // What a message made now tells, departures first.
  auto ToSend(bool passes_on, Time now) -> std::vector<TargetUpdate>;

  // Whether the target takes no more requests by this update.
  static auto IsDeparture(const TargetUpdate& update) -> bool {
    return update.is_gone || update.row.is_draining;
  }

 private:
  struct Entry {
    TargetUpdate update;
    bool is_read = false;
    Time learned_at{};
    // Sent with every message until then.
    Time fresh_until{};
    Time sent_at{};
  };

  auto Add(const TargetUpdate& update, bool is_read, Time now) -> void;
  static auto IsDue(const Entry& entry, bool passes_on, Time now) -> bool;

  // Newest change by target. Entries outlive their sending, so that a copy that
  // comes back through others is not taken for news.
  std::unordered_map<TargetId, Entry> entries_;
};

}  // namespace papayaplank

#endif  // GATEWAY_TARGET_NEWS_H_
