// A router's entry in the member list, and the messages of failure detection.
#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// State of a member. Within one incarnation a later one in this list replaces
// an earlier one.
enum class MemberState : std::uint8_t { kAlive, kSuspected, kLeaving, kDead };

// Name of a state in logs and status.
auto MemberStateName(MemberState state) -> std::string_view;

// One router process. It gets a new id at every start, so that a restarted
// router is never mistaken for its former process.
struct Member {
  RouterId id;
  // IP address and port of the gossip socket, of the listener for callers and
  // of the listener for peers.
  std::string gossip_address;
  std::string caller_address;
  std::string peer_address;
  DataCenterId data_center;
  RegionId region;
  MemberState state = MemberState::kAlive;
  // Raised only by the member itself, to refute a suspicion or to leave.
  std::uint32_t incarnation = 0;
  ConfigVersion config_version;
};

// Asks for an `Ack`. If `subject` is another member, the receiver probes it on
// behalf of the sender; if it is empty, any receiver answers. The first update
// is the sender's own state.
struct Ping {
  std::uint64_t sequence = 0;
  RouterId subject;
  std::vector<Member> updates;
};

// Answers a `Ping`. `subject` is the member that was probed; the receiver of an
// indirect ping passes on its answer.
struct Ack {
  std::uint64_t sequence = 0;
  RouterId subject;
  std::vector<Member> updates;
};

}  // namespace papayaplank

#endif  // MEMBERSHIP_MEMBER_H_
