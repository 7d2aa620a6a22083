// Failure detection by gossip, after SWIM (Das, Gupta, Motivala, 2002): each
// period probes one member. If it does not answer, other members are asked to
// probe it; then it is suspected, and at last declared dead. Probes and their
// answers carry updates of members' states.
#ifndef MEMBERSHIP_MEMBER_LIST_H_
#define MEMBERSHIP_MEMBER_LIST_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"

namespace papayaplank {

// Times and counts of failure detection.
struct MembershipOptions {
  Duration probe_period = milliseconds(400);
  Duration probe_timeout = milliseconds(120);
  Duration suspicion_time = milliseconds(600);
  // How long a dead member is kept, so that a late update does not bring it
  // back.
  Duration dead_retention = seconds(60);
  // Time between pings of seeds that are not members.
  Duration seed_period = seconds(2);
  std::size_t indirect_probes = 2;
  // Members that probe a suspected one per probe timeout, on average.
  std::size_t suspect_probers = 16;
  std::size_t updates_per_message = 4;
};

// A message to a peer's gossip address.
struct MembershipMessage {
  std::string address;
  std::variant<Ping, Ack> body;
};

// The routers of the fleet and their states, as seen by this router. It uses no
// socket and no clock.
class MemberList {
 public:
  using Messages = std::vector<MembershipMessage>;

  MemberList(Member self, MembershipOptions options, std::uint64_t seed);

  // Handle a message or the passing of time; return the messages to send.
  auto Handle(const Ping& ping, const std::string& from, Time now) -> Messages;
  auto Handle(const Ack& ack, Time now) -> Messages;
  auto Tick(Time now) -> Messages;

  // Sets gossip addresses to ping while they are not members. The list may lack
  // routers and may contain addresses without one.
  auto SetSeeds(std::vector<std::string> addresses) -> void;

  // Returns messages that announce that this router is leaving.
  auto Leave(Time now) -> Messages;

  // Sets the configuration version that this router advertises to peers.
  auto SetConfigVersion(ConfigVersion version) -> void;

  // Suspects a member at once, because it did not answer messages of other
  // kinds.
  auto Suspect(const RouterId& id, Time now) -> void;

  // Members that are alive or suspected, including this router unless it is
  // leaving.
  auto ActiveMembers() const -> std::vector<Member>;

  // All members that are not dead, including this router.
  auto LiveMembers() const -> std::vector<Member>;

  // The member with that id, or null if it is dead or unknown.
  auto Find(const RouterId& id) const -> const Member*;

  auto self() const -> const Member& { return self_; }

  // Raised whenever the state of any member changes.
  auto generation() const -> std::uint64_t { return generation_; }

 private:
  struct Entry {
    Member member;
    // When a suspected member is declared dead, or a dead one removed.
    Time state_deadline{};
    // How often this state was sent to peers. Those sent least go first.
    int times_sent = 0;
  };
  // A probe of this router that has no answer yet.
  struct Probe {
    RouterId subject;
    std::uint64_t sequence = 0;
    Time sent_at{};
    // Whether other members have been asked to probe the subject.
    bool is_indirect = false;
  };
  // A probe on behalf of another member.
  struct RelayedProbe {
    std::string requester;
    std::uint64_t requester_sequence = 0;
    RouterId subject;
    Time sent_at{};
  };

  auto ApplyUpdate(const Member& update, Time now) -> void;
  // Refutes an update that says that this router is suspected or dead.
  auto ApplyUpdateAboutSelf(const Member& update) -> void;
  // Adds the sender's state to the answer if the sender is suspected or
  // declared dead, so that it can refute.
  auto AddSuspicionOfSender(const Ping& ping, Ack& ack) const -> void;
  // Pings suspected members, to give them further chances to refute.
  auto ProbeSuspected(Time now, Messages& out) -> void;
  auto SetState(Entry& entry, MemberState state, Time now) -> void;
  auto ExpireStates(Time now) -> void;
  auto CheckProbe(Time now, Messages& out) -> void;
  auto StartProbe(Time now, Messages& out) -> void;
  auto PingSeeds(Time now, Messages& out) -> void;
  // The next member to probe, in random order without repetition within a
  // round; null if there is none.
  auto NextProbeSubject() -> const Entry*;
  // This router's own state, and those of other members that were sent least.
  auto PickUpdates() -> std::vector<Member>;

  Member self_;
  MembershipOptions options_;
  Random random_;
  std::map<RouterId, Entry> entries_;  // Never holds `self_`.
  std::vector<std::string> seeds_;
  std::vector<RouterId> probe_order_;
  std::size_t probe_index_ = 0;
  std::optional<Probe> probe_;
  // By the sequence number of this router's ping.
  std::map<std::uint64_t, RelayedProbe> relayed_probes_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t generation_ = 1;
  int self_sent_ = 0;
  Time next_probe_{};
  Time next_suspect_probe_{};
  Time next_seed_{};
};

}  // namespace papayaplank

#endif  // MEMBERSHIP_MEMBER_LIST_H_
