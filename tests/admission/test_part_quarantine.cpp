// Tests the evidence for and against prompt parts, and its exchange.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
constexpr PartId kFatal = 7;
constexpr PartId kOther = 8;

// A router that sees crashes and sound runs at times in milliseconds.
class PartQuarantineTest : public ::testing::Test {
 protected:
  static auto At(int ms) -> Time { return kStart + milliseconds(ms); }
  static auto Crash(PartQuarantine& router, std::uint64_t process,
                    const std::set<PartId>& parts, int ms) -> void {
    router.RecordCrash(process, parts, At(ms), At(ms));
  }
  static auto Run(PartQuarantine& router, PartId part, int ms) -> void {
    router.RecordSoundRun({part}, At(ms), At(ms + 500));
  }
  // Three crashes while the part was starting, and a sound run of another.
  static auto Condemn(PartQuarantine& router, PartId part) -> void {
    for (int i = 0; i < 3; ++i) {
      Crash(router, 100 + static_cast<std::uint64_t>(i), {part}, 1000 * i);
    }
    Run(router, 1, 2500);
    router.Tick(At(3000));
  }
  static auto IsQuarantined(const PartQuarantine& router, PartId part) -> bool {
    return router.FindQuarantined({part}).has_value();
  }
  static auto Exchange(PartQuarantine& from, PartQuarantine& to, int sent_ms,
                       int received_ms) -> void {
    to.Merge(from.RecordsToSend(At(sent_ms)), false, At(received_ms));
  }

  PartQuarantine router_{1};
  PartQuarantine peer_{2};
};

TEST_F(PartQuarantineTest, ThreeRoundsOfCrashesCondemnAPart) {
  Crash(router_, 1, {kFatal}, 0);
  Crash(router_, 2, {kFatal}, 1000);
  Run(router_, kOther, 1500);
  router_.Tick(At(1900));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
  EXPECT_TRUE(router_.IsSuspected({kFatal}));
  Crash(router_, 3, {kFatal}, 2000);
  router_.Tick(At(2100));
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
  EXPECT_FALSE(IsQuarantined(router_, kOther));
}

TEST_F(PartQuarantineTest, CrashesAtOneMomentAreOneRound) {
  for (std::uint64_t process = 0; process < 8; ++process) {
    Crash(router_, process, {kFatal}, static_cast<int>(process) * 30);
  }
  Run(router_, kOther, 1500);
  router_.Tick(At(5000));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, CrashesInTheCompanyOfManyOthersAreNoEvidence) {
  for (int i = 0; i < 3; ++i) {
    const auto process = 10 * static_cast<std::uint64_t>(i);
    Crash(router_, process, {kFatal}, 5000 * i);
    Crash(router_, process + 1, {kOther}, 5000 * i + 20);
    Crash(router_, process + 2, {}, 5000 * i + 30);
    Run(router_, 1, 5000 * i + 1000);
    router_.Tick(At(5000 * i + 3000));
  }
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
  EXPECT_FALSE(router_.IsSuspected({kFatal}));
}

TEST_F(PartQuarantineTest, ASoundRunClearsThePart) {
  Crash(router_, 1, {kFatal}, 0);
  Crash(router_, 2, {kFatal}, 1000);
  Run(router_, kFatal, 1200);
  Crash(router_, 3, {kFatal}, 2000);
  Run(router_, kOther, 2200);
  router_.Tick(At(4000));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, ARunThatBeganBeforeTheCrashesClearsNothing) {
  Crash(router_, 1, {kFatal}, 0);
  Crash(router_, 2, {kFatal}, 1000);
  Crash(router_, 3, {kFatal}, 2000);
  Crash(router_, 4, {kFatal}, 3000);
  router_.RecordSoundRun({kFatal}, At(-10), At(3500));
  Run(router_, kOther, 3100);
  router_.Tick(At(4000));
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, APartThatWasSoundNeedsMoreEvidence) {
  Run(router_, kFatal, -5000);
  Condemn(router_, kFatal);
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
  Crash(router_, 9, {kFatal}, 3000);
  router_.Tick(At(3100));
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, WhileNothingRunsNoPartIsCondemned) {
  for (int i = 0; i < 20; ++i) {
    Crash(router_, static_cast<std::uint64_t>(i), {kFatal}, 1000 * i);
    router_.Tick(At(1000 * i + 500));
  }
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

// A part that precedes the fatal one in its prompts is at all the same crashes.
TEST_F(PartQuarantineTest, APartThatWasSoundIsNotBlamedForItsNeighbour) {
  Run(router_, kOther, -5000);
  for (int i = 0; i < 6; ++i) {
    Crash(router_, static_cast<std::uint64_t>(i), {kFatal, kOther}, 1000 * i);
    Run(router_, 1, 1000 * i + 100);
    router_.Tick(At(1000 * i + 700));
  }
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
  EXPECT_FALSE(IsQuarantined(router_, kOther));
}

TEST_F(PartQuarantineTest, ACrashWithoutOneOfTwoTiedPartsReleasesIt) {
  for (int i = 0; i < 3; ++i) {
    Crash(router_, static_cast<std::uint64_t>(i), {kFatal, kOther}, 1000 * i);
  }
  Run(router_, 1, 2500);
  router_.Tick(At(3000));
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
  EXPECT_TRUE(IsQuarantined(router_, kOther));
  Crash(router_, 9, {kFatal}, 3500);
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
  EXPECT_FALSE(IsQuarantined(router_, kOther));
}

TEST_F(PartQuarantineTest, AQuarantinedPartExplainsFurtherCrashes) {
  Condemn(router_, kFatal);
  for (int i = 0; i < 5; ++i) {
    Crash(router_, 200 + static_cast<std::uint64_t>(i), {kFatal, kOther},
          3500 + 1000 * i);
    Run(router_, 1, 3600 + 1000 * i);
    router_.Tick(At(4000 + 1000 * i));
  }
  EXPECT_FALSE(IsQuarantined(router_, kOther));
}

TEST_F(PartQuarantineTest, AVerdictReachesOtherRouters) {
  Condemn(router_, kFatal);
  Exchange(router_, peer_, 3000, 3005);
  EXPECT_TRUE(IsQuarantined(peer_, kFatal));
  const auto changes = peer_.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].is_from_peer);
}

TEST_F(PartQuarantineTest, ARouterThatSawASoundRunObjects) {
  Run(peer_, kFatal, 2600);
  Condemn(router_, kFatal);
  Exchange(router_, peer_, 3200, 3205);
  EXPECT_FALSE(IsQuarantined(peer_, kFatal));
  Exchange(peer_, router_, 3300, 3305);
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, ASoundRunThatComesBackIsNoNewer) {
  Run(router_, kFatal, 0);
  Crash(router_, 1, {kFatal}, 50);
  Crash(router_, 2, {kFatal}, 1000);
  for (int ms = 1100; ms < 20000; ms += 400) {
    Exchange(router_, peer_, ms, ms + 90);
    Exchange(peer_, router_, ms + 200, ms + 290);
    // So that both send again.
    Crash(router_, static_cast<std::uint64_t>(ms), {kFatal}, ms + 300);
    Crash(peer_, static_cast<std::uint64_t>(ms) + 1, {kFatal}, ms + 310);
  }
  // Of the run at 0 ms, as the peer believes it.
  const auto records = peer_.RecordsToSend(At(21000));
  ASSERT_FALSE(records.empty());
  ASSERT_TRUE(records[0].sound.has_value());
  EXPECT_GE(records[0].sound->age, milliseconds(21000 - 100));
}

TEST_F(PartQuarantineTest, AfterAPauseRunsCountNoMore) {
  Crash(router_, 1, {kFatal}, 0);
  Run(router_, kFatal, 500);
  router_.RecordPause();
  // The crash of another router happened in the pause.
  PartRecord record;
  record.part = kFatal;
  record.crashes = {{2, seconds(3)}};
  router_.Merge({record}, false, At(1000));
  EXPECT_EQ(router_.suspect_count(), 1U);
  EXPECT_FALSE(router_.RecordsToSend(At(1000)).empty() &&
               router_.RecordsToSend(At(1000))[0].sound.has_value());
}

TEST_F(PartQuarantineTest, TriesBecomeEverMoreSeldom) {
  Condemn(router_, kFatal);
  EXPECT_EQ(router_.TimeToProbe(kFatal, At(3000)), seconds(59));
  EXPECT_EQ(router_.TimeToProbe(kFatal, At(62000)), Duration{});
  router_.RecordProbe(kFatal, At(62000));
  EXPECT_GT(router_.TimeToProbe(kFatal, At(62000)), Duration{});
  Crash(router_, 9, {kFatal}, 62100);
  EXPECT_EQ(router_.TimeToProbe(kFatal, At(62100)), seconds(120));
}

TEST_F(PartQuarantineTest, ASoundTryReleasesThePart) {
  Condemn(router_, kFatal);
  Run(router_, kFatal, 62000);
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, MemoryAndMessagesAreBounded) {
  Condemn(router_, kFatal);
  for (std::uint64_t i = 0; i < 20000; ++i) {
    const auto ms = 3000 + static_cast<int>(i);
    Crash(router_, 1000 + i, {100 + i}, ms);
    Run(router_, 500000 + i, ms);
    EXPECT_LE(router_.RecordsToSend(At(ms)).size(), 16U);
  }
  EXPECT_LE(router_.suspect_count(), 512U);
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, OldEvidenceIsForgotten) {
  Condemn(router_, kFatal);
  Crash(router_, 50, {kOther}, 3000);
  router_.Tick(At(130000));
  EXPECT_EQ(router_.suspect_count(), 0U);
  EXPECT_TRUE(IsQuarantined(router_, kFatal));
  router_.Tick(At(2000000));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, AForgottenVerdictIsNotTakenUpFromAPeerAgain) {
  Condemn(router_, kFatal);
  Exchange(router_, peer_, 3000, 3005);
  constexpr int kEnd = 2000 + 1800 * 1000;  // Half an hour after the crash.
  router_.Tick(At(kEnd + 1));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
  router_.Merge(peer_.Quarantined(At(kEnd + 1)), true, At(kEnd + 3));
  EXPECT_FALSE(IsQuarantined(router_, kFatal));
}

TEST_F(PartQuarantineTest, OneRequestsOwnPartIsNotShared) {
  EXPECT_EQ(SharedParts({{1, 10}, {2, 10}, {3, 10}}),
            (std::vector<PartId>{1, 2}));
  EXPECT_TRUE(SharedParts({{1, 10}}).empty());
  EXPECT_TRUE(SharedParts({}).empty());
}

// Datagrams arrive in any order, twice or not at all.
RC_GTEST_PROP(PartQuarantineProperty, TheOrderOfEvidenceDoesNotMatter, ()) {
  const auto count = *rc::gen::inRange<int>(1, 12);
  std::vector<PartRecord> records;
  for (int i = 0; i < count; ++i) {
    PartRecord record;
    record.part = kFatal;
    const auto age = milliseconds(*rc::gen::inRange(0, 8000));
    if (*rc::gen::inRange(0, 4) == 0) {
      record.sound = PartRecord::SoundRun{static_cast<std::uint64_t>(i), age};
    } else {
      record.crashes = {
          {static_cast<std::uint64_t>(*rc::gen::inRange(1, 6)), age}};
    }
    records.push_back(record);
  }
  // A process crashes once, at one time.
  std::map<std::uint64_t, Duration> age_of;
  for (auto& record : records) {
    for (auto& crash : record.crashes) {
      crash.age = age_of.emplace(crash.process, crash.age).first->second;
    }
  }
  auto shuffled = records;
  shuffled.insert(shuffled.end(), records.begin(), records.end());
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  for (std::size_t i = shuffled.size() - 1; i > 0; --i) {
    std::swap(shuffled[i], shuffled[random.Index(i + 1)]);
  }
  PartQuarantine first(1);
  PartQuarantine second(2);
  const auto now = kStart + seconds(20);
  for (auto* router : {&first, &second}) {
    router->RecordSoundRun({1}, now - milliseconds(1), now);
  }
  first.Merge(records, true, now);
  second.Merge(shuffled, true, now);
  first.Tick(now);
  second.Tick(now);
  RC_ASSERT(first.FindQuarantined({kFatal}) ==
            second.FindQuarantined({kFatal}));
  RC_ASSERT(first.IsSuspected({kFatal}) == second.IsSuspected({kFatal}));
}

}  // namespace
}  // namespace papayaplank
