// Keeps to what targets say of themselves, together with the other routers:
// limits, pauses, that they leave, and that they are cold.
//
// Each target with a limited rate has one owner among the routers, by
// rendezvous hashing; all choose alike, so nothing is agreed on or stored. The
// owner hands out permits at the target's rate, one for each request, to
// whichever router asks. Routers ask when they have a request to send there.
// What targets name travels as records: changes at once, the rest periodically
// for new routers.
#ifndef GATEWAY_TARGET_GUARD_H_
#define GATEWAY_TARGET_GUARD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "gateway/peer_messages.h"
#include "gateway/peer_table.h"
#include "routing/routing.h"

namespace papayaplank {

// Whether a request may be sent to a target now.
enum class Permission {
  kNotNeeded,  // The target names no limit.
  kInHand,     // This router has a permit.
  kMayAsk,     // Its owner may have one.
  kNone,       // None is left for now.
};

// Counts since the start of the process, for metrics.
struct PermitCounters {
  std::uint64_t requested = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  // No reply came in time.
  std::uint64_t unanswered = 0;
};

class TargetGuard {
 public:
  // The rate at which a cold target may get permits; nothing if there is no
  // bound for it.
  using ColdRateHook =
      std::function<std::optional<RequestRate>(const TargetId&)>;

  TargetGuard(std::string self_address, std::uint64_t seed,
              ColdRateHook cold_rate)
      : self_address_(std::move(self_address)),
        cold_rate_(std::move(cold_rate)),
        limits_(seed) {}

  // What targets say.

  // An answer arrived that names a limit, or none.
  auto RecordLimit(const TargetRow& target, const TargetStatement& statement,
                   Time now) -> void;
  // The process said that it leaves, in an answer to this router (`is_own`) or
  // to another one; whether that is news. With `passes_on`, others are told.
  auto RecordDeparture(const TargetId& target, ProcessStart process,
                       bool is_own, bool passes_on) -> bool;
  auto RecordMalformedLeaving() -> void { ++malformed_leaving_; }
  // The target turned a request of this router away and wants nothing from it
  // for so long.
  auto RecordTargetPause(const TargetRow& target, Duration pause, Time now)
      -> void;
  // It asked that of another router; whether that is news. With `passes_on`,
  // others are told.
  auto RecordHeardPause(const TargetId& target, const PauseRecord& record,
                        bool passes_on, Time now) -> bool;
  // Whether the target asked this router or another one for a pause that is not
  // over.
  auto IsPausing(const TargetId& target, Time now) const -> bool;
  auto pauses() -> TargetPauses& { return pauses_; }
  auto pauses() const -> const TargetPauses& { return pauses_; }
  auto malformed_leaving() const -> std::uint64_t { return malformed_leaving_; }
  // A record of another router about this target. With `passes_on`, a change is
  // sent on to others.
  auto Merge(const TargetId& target, const TargetLimitRecord& record,
             bool passes_on, Time now) -> void;
  auto RemoveTarget(const TargetId& target) -> void;

  // Cold targets.

  // A row that was read states how long the process stays cold.
  auto RecordRow(const TargetRow& row, bool passes_on, Time now) -> void;
  // The process of the target may be cold for so long.
  auto PresumeCold(const TargetRow& target, ColdCause cause, Duration time,
                   Time now) -> void;
  // With `passes_on`, news are sent on to others.
  auto MergeCold(const TargetId& target, const ColdRecord& record,
                 bool passes_on, Time now) -> void;
  auto cold() -> ColdTargets& { return cold_; }
  auto cold() const -> const ColdTargets& { return cold_; }

  // The rate at which all routers together may send to the target now; nothing
  // if there is no bound.
  auto FindRate(const TargetId& target, Time now) const
      -> std::optional<RequestRate>;
  auto limits() -> TargetLimits& { return limits_; }
  auto limits() const -> const TargetLimits& { return limits_; }
  auto is_any_limited() const -> bool {
    return limits_.is_any_limited() || cold_.is_any_cold();
  }

  // Permits.

  auto Check(const TargetId& target, PermitClass permit_class, Time now)
      -> Permission;
  // Until a request may be sent, or a permit for it may be asked for; zero if
  // that may be now.
  auto TimeToSend(const TargetId& target, PermitClass permit_class, Time now)
      -> Duration;
  // A request is sent to the target; takes a permit if one is needed.
  auto RecordSend(const TargetId& target, Time now) -> void;
  // Asks the target's owner for a permit.
  auto Ask(const TargetId& target, PermitClass permit_class, Time now)
      -> PermitNonce;
  // No reply has come in time.
  auto RecordSilence(PermitNonce nonce, Time now) -> void;
  auto HandleRequest(const TargetId& target, const PermitRequest& request,
                     Time now) -> PermitGrant;
  auto HandleGrant(const PermitGrant& grant, Time now) -> void;
  // Requests for permits since the last call; each has one recipient.
  auto TakeRequests() -> std::vector<std::pair<std::string, PermitRequest>> {
    return std::exchange(requests_, {});
  }
  // When a request that finds no permit now may find one, if those before it
  // come back as they were told.
  auto PromiseReturn(Duration least, Time now) -> Duration;

  // Periodic work, before the messages of a tick are made.
  auto Tick(const PeerTable& peers, bool is_leaving, Time now) -> void;
  // The process was paused for an unknown time.
  auto RecordPause(Time now) -> void;
  // What other routers need to know now. `passes_on`: this router tells others
  // what it hears; `is_member`: others refresh for it.
  auto MakeReport(bool passes_on, bool is_member, Time now) -> StatementReport;

  // The owner's peer address; empty if there is none.
  auto Owner(const TargetId& target) const -> const std::string&;
  auto counters() const -> const PermitCounters& { return counters_; }
  auto issuer() const -> const PermitIssuer& { return issuer_; }

 private:
  // A process that leaves.
  struct Leaving {
    ProcessStart process;
    // Sendings left of the news.
    int repeats_left = 0;
    // It said so to this router.
    bool is_own = false;
  };
  // A pause that others are to be told of, or were told by others.
  struct Pause {
    ProcessStart process;
    Time until{};
    int repeats_left = 0;
  };
  // How much of a record's news others have been sent.
  struct Spread {
    // Sendings left of a change.
    int repeats_left = 0;
    // News of this router itself that a refresh has not sent yet.
    bool is_own_news = false;
  };

  // Notes a pause of which others are told; whether it is news.
  auto NotePause(const TargetId& target, const Pause& pause, Time now) -> bool;
  auto ToRecord(const TargetId& target, Time now) const -> TargetLimitRecord;
  // The limit began, changed or ended.
  auto OnChange(const TargetId& target, bool passes_on, Time now) -> void;
  // The rate of the target may have changed.
  auto UpdateOwnership(const TargetId& target, Time now) -> void;
  // There is news of whether the target is cold; `before` was its rate.
  auto OnColdNews(const TargetId& target,
                  const std::optional<RequestRate>& before, bool passes_on,
                  Time now) -> void;
  // Nothing if the target is not cold.
  auto FindColdRecord(const TargetId& target, Time now) const
      -> std::optional<ColdRecord>;
  auto ToColdRecord(const TargetId& target, Time now) const -> ColdRecord;
  auto ColdToRefresh(bool passes_on, bool is_member, Time now)
      -> std::vector<TargetId>;
  auto IsOwn(const TargetId& target) const -> bool {
    return Owner(target) == self_address_;
  }
  auto ClaimOwned(Time now) -> void;
  // Targets whose records are due for new routers, a part of them if there are
  // too many for one message.
  auto LimitsToRefresh(bool passes_on, bool is_member, Time now)
      -> std::vector<TargetId>;
  auto DeparturesToRefresh(bool passes_on, bool is_member)
      -> std::vector<TargetId>;
  auto TakeTurn(std::vector<TargetId> due) -> std::vector<TargetId>;

  std::string self_address_;
  ColdRateHook cold_rate_;
  TargetLimits limits_;
  ColdTargets cold_;
  // The part of the rates of cold targets that this side of a partition uses.
  double cold_share_ = 1;
  // Sendings left of news of cold targets; an entry for each target of `cold_`.
  std::unordered_map<TargetId, Spread> cold_spread_;
  PermitIssuer issuer_;
  PermitWallet wallet_;
  // Routers that hand out permits, this one included unless it is leaving.
  std::vector<std::string> owners_;
  // Owners by target, for the routers in `owners_`.
  mutable std::unordered_map<TargetId, std::string> owner_of_;
  std::unordered_map<TargetId, Spread> spread_;
  std::unordered_map<TargetId, Leaving> leaving_;
  std::uint64_t malformed_leaving_ = 0;
  // Pauses that hold for this router, and what it knows of all.
  TargetPauses pauses_;
  std::unordered_map<TargetId, Pause> known_pauses_;
  std::vector<std::pair<std::string, PermitRequest>> requests_;
  Time repeated_at_{};
  Time refreshed_at_{};
  // Where the next refresh begins, if there are too many for one.
  std::size_t refresh_from_ = 0;
  // When permits were used lately, oldest first, and the newest time that a
  // refused request was told to return at.
  std::deque<Time> used_;
  Time promised_until_{};
  PermitCounters counters_;
};

}  // namespace papayaplank

#endif  // GATEWAY_TARGET_GUARD_H_
