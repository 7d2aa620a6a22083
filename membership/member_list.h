// Gossip failure detection in the manner of SWIM (Das, Gupta, Motivala, 2002):
// each period probes one member, asks others to probe it when it is silent,
// then suspects it, then declares it dead. News rides on the probes.
#ifndef MEMBERSHIP_MEMBER_LIST_H_
#define MEMBERSHIP_MEMBER_LIST_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"

namespace papayaplank {

// Times of failure detection.
struct MembershipOptions {
  Duration probe_period = milliseconds(400);
  Duration probe_timeout = milliseconds(120);
  Duration suspicion_time = milliseconds(600);
  // How long a dead member is remembered, so that late news stays dead.
  Duration dead_memory = seconds(60);
  // Bound on the time without answers from a seed before asking again.
  Duration seed_period = seconds(2);
  std::size_t indirect_probes = 2;
  // Members that probe a suspected one at each timeout, on average.
  std::size_t doubt_probers = 16;
  std::size_t updates_per_message = 4;
};

// A message to a peer's gossip address.
struct MembershipMessage {
  std::string address;
  std::variant<Ping, Ack> body;
};

// The members that this router knows. It holds no socket and reads no clock.
class MemberList {
 public:
  using Messages = std::vector<MembershipMessage>;

  MemberList(Member self, MembershipOptions options, std::uint64_t seed);

  // Messages and time.
  auto Handle(const Ping& ping, const std::string& from, Time now) -> Messages;
  auto Handle(const Ack& ack, Time now) -> Messages;
  auto Tick(Time now) -> Messages;

  // Adds gossip addresses to ask when they are not members yet. The list may
  // be wrong in both directions.
  auto SetSeeds(std::vector<std::string> addresses) -> void;

  // Announces that this router is leaving.
  auto Leave(Time now) -> Messages;

  // Tells peers of the configuration version in force here.
  auto SetConfigVersion(ConfigVersion version) -> void;

  // Suspects a member at once, for a shell or a library that saw it silent.
  auto Suspect(const RouterId& id, Time now) -> void;

  // Live members with this router; leaving ones are left out.
  auto ActiveMembers() const -> std::vector<Member>;

  // All members that are not dead, this router too.
  auto LiveMembers() const -> std::vector<Member>;

  // The member of that id while it is not dead.
  auto Find(const RouterId& id) const -> const Member*;

  auto self() const -> const Member& { return self_; }

  // Raised whenever the set of active members changes.
  auto generation() const -> std::uint64_t { return generation_; }

 private:
  struct Entry {
    Member member;
    // When a suspected member is declared dead, or a dead one forgotten.
    Time state_deadline{};
    // How often the newest state was sent on; fresh news goes first.
    int sent = 0;
  };
  struct Probe {
    RouterId subject;
    std::uint64_t sequence = 0;
    Time sent_at{};
    bool is_indirect = false;
  };
  // A probe made for somebody else.
  struct RelayedProbe {
    std::string requester;
    std::uint64_t requester_sequence = 0;
    RouterId subject;
    Time sent_at{};
  };

  auto Learn(const Member& news, Time now) -> void;
  auto LearnAboutSelf(const Member& news) -> void;
  // Tells the sender of a ping that it is suspected or taken for dead, so
  // that it can refute.
  auto AddDoubtAbout(const Ping& ping, Ack& ack) const -> void;
  // Gives suspected members further chances to answer.
  auto ProbeSuspected(Time now, Messages& out) -> void;
  auto SetState(Entry& entry, MemberState state, Time now) -> void;
  auto ExpireStates(Time now) -> void;
  auto CheckProbe(Time now, Messages& out) -> void;
  auto StartProbe(Time now, Messages& out) -> void;
  auto AskSeeds(Time now, Messages& out) -> void;
  auto NextSubject() -> const Entry*;
  auto PickUpdates() -> std::vector<Member>;

  Member self_;
  MembershipOptions options_;
  Random random_;
  std::map<RouterId, Entry> entries_;  // Never holds `self_`.
  std::vector<std::string> seeds_;
  std::vector<RouterId> probe_order_;
  std::size_t probe_index_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t generation_ = 1;
  int self_sent_ = 0;
  Time next_probe_{};
  Time next_doubt_probe_{};
  Time next_seed_{};
};

}  // namespace papayaplank

#endif  // MEMBERSHIP_MEMBER_LIST_H_
