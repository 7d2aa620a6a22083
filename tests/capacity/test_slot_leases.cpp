// Owner and borrower over a network that loses, delays and duplicates messages:
// the slots in use at both and those free at the borrower never exceed the
// capacity together.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "capacity/capacity.h"

namespace papayaplank {
namespace {

const RouterId kOwner("owner");
const RouterId kBorrower("borrower");
const TargetId kTarget("t");
const PoolId kPool("p");
constexpr int kSlots = 4;

auto MakeTarget() -> TargetInfo {
  TargetInfo target;
  target.id = kTarget;
  target.pool = kPool;
  target.slots = kSlots;
  return target;
}

auto MakeDemand(int wanted, double virtual_time, Time now) -> SlotDemand {
  SlotDemand demand;
  demand.router = kBorrower;
  demand.pool = kPool;
  demand.wanted = {wanted, 0};
  demand.virtual_time = VirtualTime{virtual_time};
  demand.backlog_weight = 1;
  demand.mean_estimate = Cost{10};
  demand.sent_at_us = now.time_since_epoch().count();
  return demand;
}

// One owner, one borrower, and the messages between them.
struct Pair {
  SlotOwner owner{kOwner, LeaseOptions(), LatencyObjective()};
  SlotBorrower borrower{kBorrower, LeaseOptions()};
  std::deque<LeaseUpdate> updates;
  std::deque<LeaseReport> reports;
  Time now{seconds(10)};
  int waiting = 0;
  double virtual_time = 0;
  // Requests whose lease the owner ended while they ran.
  int orphans = 0;

  Pair() { owner.AddTarget(MakeTarget()); }

  auto Lend() -> void {
    for (auto& each : owner.Lend(kPool, LocalDemand(), now)) {
      updates.push_back(each.update);
    }
  }
  auto Report() -> void {
    const auto waiting_for = [this](const TargetId&) {
      return WaitingWork{VirtualTime{virtual_time}, 0, waiting};
    };
    for (auto& each : borrower.Report(waiting_for, false, now)) {
      reports.push_back(std::move(each.report));
    }
  }
  auto HandleReport(const LeaseReport& report) -> void {
    for (auto& each : owner.Handle(report, LocalDemand(), kPool, now)) {
      updates.push_back(each.update);
    }
  }
};

TEST(SlotLeaseTest, FreeSlotsGoToADemandAndComeBack) {
  Pair pair;
  pair.waiting = 3;
  pair.owner.Handle(MakeDemand(3, 0, pair.now), pair.now);
  pair.Lend();
  ASSERT_EQ(pair.updates.size(), 1U);
  pair.borrower.Handle(kOwner, pair.updates.front(), pair.now);
  EXPECT_EQ(pair.borrower.FreeSlots(kTarget, pair.now).shared, 3);
  EXPECT_EQ(pair.owner.FreeSlots(kTarget).shared, kSlots - 3);
  pair.waiting = 0;
  pair.Report();
  pair.HandleReport(pair.reports.front());
  EXPECT_EQ(pair.owner.FreeSlots(kTarget).shared, kSlots);
}

TEST(SlotLeaseTest, LeaseEndsAtTheBorrowerBeforeTheOwner) {
  Pair pair;
  const LeaseOptions options;
  pair.owner.Handle(MakeDemand(1, 0, pair.now), pair.now);
  pair.Lend();
  pair.borrower.Handle(kOwner, pair.updates.front(), pair.now);
  pair.now += options.duration - options.margin;
  EXPECT_FALSE(pair.borrower.TryAcquire(kTarget, false, pair.now));
  pair.owner.Expire(pair.now);
  EXPECT_EQ(pair.owner.FreeSlots(kTarget).shared, kSlots - 1);
  pair.now += options.margin * 2;
  pair.owner.Expire(pair.now);
  EXPECT_EQ(pair.owner.FreeSlots(kTarget).shared, kSlots);
}

TEST(SlotLeaseTest, GrantDuringARecallWastesNoSlot) {
  Pair pair;
  pair.waiting = 9;
  pair.owner.Handle(MakeDemand(2, 0, pair.now), pair.now);
  pair.Lend();
  pair.borrower.Handle(kOwner, pair.updates.back(), pair.now);
  pair.borrower.TryAcquire(kTarget, false, pair.now);
  pair.borrower.TryAcquire(kTarget, false, pair.now);
  // The borrower's virtual time is above the owner's: one slot is recalled.
  pair.virtual_time = 5000;
  pair.Report();
  LocalDemand local{false, true, VirtualTime{0}};
  pair.owner.Handle(pair.reports.back(), local, kPool, pair.now);
  // The borrower asks again with a low virtual time: the recall is undone
  // before another slot is lent.
  pair.now += milliseconds(10);
  pair.owner.Handle(MakeDemand(1, 0, pair.now), pair.now);
  pair.Lend();
  EXPECT_EQ(pair.owner.LentSlots(kTarget).shared, 2);
}

// Any order of lending, use, return, loss, duplication and delay.
RC_GTEST_PROP(SlotLeaseProperty, CapacityIsNeverExceeded, ()) {
  Pair pair;
  int owner_busy = 0;
  for (int step = 0; step < 150; ++step) {
    // Two messages of one process never have the same send time.
    pair.now += Duration(1);
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
        pair.waiting = *rc::gen::inRange(0, 6);
        pair.owner.Handle(MakeDemand(pair.waiting, 0, pair.now), pair.now);
        break;
      case 1:
        pair.Lend();
        break;
      case 2:
      case 3:
        if (pair.updates.empty()) break;
        pair.borrower.Handle(kOwner, pair.updates.front(), pair.now);
        if (*rc::gen::inRange(0, 4) != 0) pair.updates.pop_front();
        break;
      case 4:
        if (!pair.updates.empty()) pair.updates.pop_front();
        break;
      case 5:
        pair.borrower.TryAcquire(kTarget, false, pair.now);
        break;
      case 6:
        if (pair.borrower.BusySlots(kTarget).shared == 0) break;
        pair.borrower.Release(kTarget, false);
        pair.orphans = std::max(0, pair.orphans - 1);
        break;
      case 7:
        pair.virtual_time = *rc::gen::inRange(0, 2000);
        pair.Report();
        break;
      case 8:
      case 9:
        if (pair.reports.empty()) break;
        pair.HandleReport(pair.reports.front());
        if (*rc::gen::inRange(0, 4) != 0) pair.reports.pop_front();
        break;
      case 10:
        if (pair.owner.TryAcquire(kTarget, false)) ++owner_busy;
        break;
      case 11:
        if (owner_busy == 0) break;
        pair.owner.Release(kTarget, false);
        --owner_busy;
        break;
      default: {
        pair.now += milliseconds(*rc::gen::inRange(1, 400));
        const auto lent_before = pair.owner.LentSlots(kTarget).shared;
        pair.owner.Expire(pair.now);
        const auto has_expired =
            lent_before > 0 && pair.owner.LentSlots(kTarget).shared == 0;
        if (has_expired) pair.orphans = pair.borrower.BusySlots(kTarget).shared;
      }
    }
    // Requests that outlive their lease are allowed (docs/DESIGN.md).
    if (pair.orphans > 0) continue;
    const auto startable = pair.borrower.FreeSlots(kTarget, pair.now).shared;
    const auto busy = pair.borrower.BusySlots(kTarget).shared;
    RC_ASSERT(owner_busy + busy + startable <= kSlots);
  }
}

}  // namespace
}  // namespace papayaplank
