// Peer messages are the same after encoding and decoding; damaged ones are
// rejected.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "router/router.h"

namespace papayaplank {
namespace {

// One message of each kind.
auto Messages() -> std::vector<PeerMessage> {
  Member member;
  member.id = RouterId("r1#abc");
  member.gossip_address = "127.0.0.1:1";
  member.state = MemberState::kSuspected;
  member.incarnation = 3;
  member.config_version = ConfigVersion(9);
  return {
      Ping{1, RouterId("r2"), {member}},
      Ack{2, RouterId("r2"), {}},
      SlotDemand{RouterId("r1"), PoolId("p"), {1, 2}, {3.5}, 4, {5}, 6},
      LeaseUpdates{RouterId("r1"), {{TargetId("t"), 7, {1, 0}, -8, true}}},
      LeaseReport{
          RouterId("r1"), 9, {{TargetId("t"), {1, 1}, {1, 0}, {2.5}, true, 3}}},
      StateGossip{{{RouterId("r1"), PoolId("p"), 1, {2}, 3, 4}}},
      AccountReport{RouterId("r1"), {{CustomerId("c"), PoolId("p"), {2}, {3}}}},
      AccountReply{RouterId("r1"), {}},
  };
}

TEST(PeerCodecTest, EveryKindRoundTrips) {
  const auto messages = Messages();
  ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
  for (const auto& message : messages) {
    const auto bytes = EncodePeerMessage(message);
    const auto decoded = DecodePeerMessage(bytes);
    ASSERT_TRUE(IsOk(decoded)) << message.index();
    EXPECT_EQ(ValueOf(decoded).index(), message.index());
    EXPECT_EQ(EncodePeerMessage(ValueOf(decoded)), bytes);
  }
}

TEST(PeerCodecTest, TruncatedMessagesAreRejected) {
  for (const auto& message : Messages()) {
    const auto bytes = EncodePeerMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(IsOk(DecodePeerMessage(bytes.substr(0, size))));
    }
  }
}

TEST(PeerCodecTest, AStatedLengthIsNotBelieved) {
  EXPECT_FALSE(IsOk(DecodePeerMessage(
      std::string("\x9b\x18\x35\x60\x60\x01\xf4\x00\x00", 9))));
}

RC_GTEST_PROP(PeerCodecProperty, AnyBytesAreSafe, (const std::string& bytes)) {
  const auto decoded = DecodePeerMessage(bytes);
  if (IsOk(decoded)) EncodePeerMessage(ValueOf(decoded));
}

}  // namespace
}  // namespace papayaplank
