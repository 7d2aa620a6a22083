// Tests what becomes of requests whose prompts have parts that crash targets.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_core_fixture.h"

namespace papayaplank {
namespace {

auto FatalRecord(bool is_quarantined) -> PartRecord {
  PartRecord record;
  record.part = 7;  // The shared part of `Facts`.
  record.is_quarantined = is_quarantined;
  record.crashes = {{1, milliseconds(2000)}, {2, milliseconds(1000)}};
  return record;
}

TEST_F(GatewayCoreTest, ARequestWithAQuarantinedPartIsRefusedAtOnce) {
  Serve(3);
  core_.HandleEvidence(PartEvidence{{FatalRecord(true)}}, kStart);
  const auto accepted = core_.Accept(Facts("/chat/1", "key-a", 1000), kStart);
  ASSERT_EQ(Reason(accepted), RefusalReason::kQuarantinedPart);
  const auto& refusal = std::get<Refusal>(accepted);
  EXPECT_EQ(RefusalStatus(refusal.reason), 503);
  EXPECT_EQ(refusal.part, PartId{7});
  EXPECT_GE(refusal.retry_after, seconds(50));
  EXPECT_EQ(core_.counters().attempts, 0U);
  // Requests without the part are accepted.
  Accepted(Facts("/chat/1", "key-a"));
}

TEST_F(GatewayCoreTest, ARequestWithASuspectedPartIsNotRepeated) {
  Serve(3);
  auto request = Accepted(Facts("/status/1", "key-a", 1000));
  std::get<Placement>(core_.Place(request, kStart));
  EXPECT_TRUE(core_.MayRetry(request, AttemptOutcome::kBroken, false, kStart));
  core_.HandleEvidence(PartEvidence{{FatalRecord(false)}}, kStart);
  EXPECT_FALSE(core_.MayRetry(request, AttemptOutcome::kBroken, false, kStart));
  // It has surely not run, so it crashed nothing.
  EXPECT_TRUE(
      core_.MayRetry(request, AttemptOutcome::kNotReached, false, kStart));
}

TEST_F(GatewayCoreTest, ARequestInProgressIsNotSentOnOnceItsPartIsQuarantined) {
  Serve(3);
  auto request = Accepted(Facts("/chat/1", "key-a", 1000));
  std::get<Placement>(core_.Place(request, kStart));
  core_.HandleEvidence(PartEvidence{{FatalRecord(true)}}, kStart);
  const auto again = core_.Place(request, kStart);
  ASSERT_TRUE(std::holds_alternative<Refusal>(again));
  EXPECT_EQ(std::get<Refusal>(again).reason, RefusalReason::kQuarantinedPart);
}

}  // namespace
}  // namespace papayaplank
