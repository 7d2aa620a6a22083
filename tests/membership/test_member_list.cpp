// Failure detection over a network with losses, cut links and partitions.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

#include "membership/membership.h"

namespace papayaplank {
namespace {

// A few members and the messages between them; time moves in steps.
class Group {
 public:
  explicit Group(int count) {
    for (int i = 0; i < count; ++i) Add(i, "#1");
  }

  // `start` ends the member's id and differs for each start of its process.
  auto Add(int index, const std::string& start) -> void {
    Member self;
    self.gossip_address = "m" + std::to_string(index);
    self.id = RouterId(self.gossip_address + start);
    lists_[self.gossip_address] = std::make_unique<MemberList>(
        self, MembershipOptions(), static_cast<std::uint64_t>(index) + 7);
    lists_[self.gossip_address]->SetSeeds({"m0", "m1"});
  }

  auto Run(Duration time) -> void {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(20);
      for (auto& [address, list] : lists_) {
        if (down_.count(address) == 0) Send(address, list->Tick(now_));
      }
      Deliver();
    }
  }

  auto Send(const std::string& from, MemberList::Messages messages) -> void {
    for (auto& message : messages) {
      network_.push_back({from, std::move(message)});
    }
  }

  auto Deliver() -> void {
    while (!network_.empty()) {
      auto [from, message] = std::move(network_.front());
      network_.pop_front();
      const auto& to = message.address;
      if (down_.count(to) != 0 || down_.count(from) != 0) continue;
      if (cut_.count({from, to}) != 0) continue;
      const auto found = lists_.find(to);
      if (found == lists_.end()) continue;
      if (loss_ > 0 && random_.Uniform() < loss_) continue;
      if (const auto* ping = std::get_if<Ping>(&message.body)) {
        Send(to, found->second->Handle(*ping, from, now_));
      } else {
        Send(to, found->second->Handle(std::get<Ack>(message.body), now_));
      }
    }
  }

  auto List(int index) -> MemberList& {
    return *lists_.at("m" + std::to_string(index));
  }
  auto HasMember(int index, const std::string& id) -> bool {
    return List(index).Find(RouterId(id)) != nullptr;
  }
  auto SetDown(int index) -> void { down_.insert("m" + std::to_string(index)); }
  auto SetUp(int index) -> void { down_.erase("m" + std::to_string(index)); }
  auto Cut(int a, int b) -> void {
    cut_.insert({"m" + std::to_string(a), "m" + std::to_string(b)});
    cut_.insert({"m" + std::to_string(b), "m" + std::to_string(a)});
  }
  auto HealAll() -> void { cut_.clear(); }
  auto SetLoss(double loss) -> void { loss_ = loss; }
  auto now() const -> Time { return now_; }

 private:
  Time now_{seconds(1)};
  std::map<std::string, std::unique_ptr<MemberList>> lists_;
  std::deque<std::pair<std::string, MembershipMessage>> network_;
  std::set<std::string> down_;
  std::set<std::pair<std::string, std::string>> cut_;
  double loss_ = 0;
  Random random_{5};
};

TEST(MemberListTest, AllMembersFindEachOther) {
  Group group(8);
  group.Run(seconds(5));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(group.List(i).ActiveMembers().size(), 8U) << i;
  }
}

TEST(MemberListTest, DeadMemberIsDroppedWithinThreeSeconds) {
  Group group(8);
  group.Run(seconds(5));
  group.SetDown(3);
  group.Run(seconds(3));
  for (int i = 0; i < 8; ++i) {
    if (i != 3) {
      EXPECT_FALSE(group.HasMember(i, "m3#1")) << i;
    }
  }
}

TEST(MemberListTest, RestartedMemberIsANewOne) {
  Group group(5);
  group.Run(seconds(5));
  group.Add(4, "#2");
  group.Run(seconds(4));
  EXPECT_TRUE(group.HasMember(0, "m4#2"));
  EXPECT_FALSE(group.HasMember(0, "m4#1"));
}

TEST(MemberListTest, OneCutLinkCausesNoFalseDeath) {
  Group group(6);
  group.Run(seconds(5));
  group.Cut(1, 2);
  group.Run(seconds(20));
  EXPECT_TRUE(group.HasMember(1, "m2#1"));
  EXPECT_TRUE(group.HasMember(2, "m1#1"));
}

TEST(MemberListTest, PartitionSplitsAndHealsAgain) {
  Group group(6);
  group.Run(seconds(5));
  for (int a = 0; a < 3; ++a) {
    for (int b = 3; b < 6; ++b) group.Cut(a, b);
  }
  group.Run(seconds(10));
  EXPECT_EQ(group.List(0).ActiveMembers().size(), 3U);
  EXPECT_EQ(group.List(5).ActiveMembers().size(), 3U);
  group.HealAll();
  group.Run(seconds(90));
  EXPECT_EQ(group.List(0).ActiveMembers().size(), 6U);
  EXPECT_EQ(group.List(5).ActiveMembers().size(), 6U);
}

TEST(MemberListTest, LossCausesFewFalseDeaths) {
  Group group(8);
  group.Run(seconds(5));
  group.SetLoss(0.05);
  group.Run(seconds(60));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(group.List(i).LiveMembers().size(), 8U) << i;
  }
}

TEST(MemberListTest, LeavingMemberIsNotActiveButLive) {
  Group group(4);
  group.Run(seconds(4));
  group.Send("m2", group.List(2).Leave(group.now()));
  group.Deliver();
  EXPECT_EQ(group.List(0).ActiveMembers().size(), 3U);
  EXPECT_EQ(group.List(0).LiveMembers().size(), 4U);
}

TEST(MemberListTest, SuspectedMemberRefutes) {
  Group group(4);
  group.Run(seconds(4));
  group.List(0).Suspect(RouterId("m1#1"), group.now());
  group.Run(seconds(3));
  EXPECT_EQ(group.List(0).Find(RouterId("m1#1"))->state, MemberState::kAlive);
}

}  // namespace
}  // namespace papayaplank
