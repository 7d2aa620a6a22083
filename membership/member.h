// A router as its peers know it, and the messages of failure detection.
#ifndef MEMBERSHIP_MEMBER_H_
#define MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

enum class MemberState : std::uint8_t { kAlive, kSuspected, kLeaving, kDead };

// Name of a state, as it stands in logs and status.
auto MemberStateName(MemberState state) -> std::string_view;

// One router process. The id is new at every start, so that a restarted
// router is never taken for the one before it.
struct Member {
  RouterId id;
  // IP number and port of the gossip socket, the callers' and the peers' port.
  std::string gossip_address;
  std::string caller_address;
  std::string peer_address;
  DataCenterId data_center;
  RegionId region;
  MemberState state = MemberState::kAlive;
  // Raised only by the member itself, to refute a suspicion.
  std::uint32_t incarnation = 0;
  ConfigVersion config_version;
};

// Asks for an `Ack`. With `subject` set, asks the receiver to probe it.
struct Ping {
  std::uint64_t sequence = 0;
  RouterId subject;
  std::vector<Member> updates;
};

// Answers a `Ping`; `subject` names the member that was probed indirectly.
struct Ack {
  std::uint64_t sequence = 0;
  RouterId subject;
  std::vector<Member> updates;
};

}  // namespace papayaplank

#endif  // MEMBERSHIP_MEMBER_H_
