// Tests of permits for limited targets: what an owner hands out, and what a
// router has in hand.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
const TargetId kTarget("t1");
constexpr auto kFirst = PermitClass::kWithinShare;
constexpr auto kLast = PermitClass::kOverShare;

// Permits that are taken as soon as there are any.
auto IssueAll(PermitIssuer& issuer, RequestRate limit, Time from, Duration time,
              PermitClass permit_class = kFirst) -> int {
  auto count = 0;
  for (auto now = from; now < from + time; now += milliseconds(10)) {
    while (issuer.Issue(kTarget, limit, permit_class, now)) ++count;
  }
  return count;
}

TEST(PermitIssuerTest, HandsOutWhatTheLimitAllows) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  EXPECT_NEAR(IssueAll(issuer, {5}, kStart, seconds(20)), 97, 2);
  EXPECT_NEAR(IssueAll(issuer, {0.5}, kStart + seconds(20), seconds(20)), 10,
              1);
}

TEST(PermitIssuerTest, ANewOwnerStartsWithNothing) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  // Permits of a former owner may be in use until then.
  EXPECT_EQ(IssueAll(issuer, {50}, kStart, kPermitLifetime), 0);
  EXPECT_LE(IssueAll(issuer, {50}, kStart + kPermitLifetime, seconds(1)), 50);
}

TEST(PermitIssuerTest, UnusedPermitsAllowNoLongBurst) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  EXPECT_LE(IssueAll(issuer, {8}, kStart + seconds(60), milliseconds(10)),
            1 + 8 / 4);
}

TEST(PermitIssuerTest, APauseForgetsWhatWasLeft) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  EXPECT_TRUE(issuer.HasPermit(kTarget, {8}, kFirst, kStart + seconds(9)));
  issuer.Restart(kStart + seconds(9));
  EXPECT_FALSE(issuer.HasPermit(kTarget, {8}, kFirst, kStart + seconds(9)));
}

TEST(PermitIssuerTest, ALimitOfZeroIsTriedRarely) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  const auto count = IssueAll(issuer, {0}, kStart, seconds(60));
  EXPECT_GE(count, 4);
  EXPECT_LE(count, 8);
}

TEST(PermitIssuerTest, CustomersOverTheirShareGetWhatIsLeft) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  auto first = 0;
  auto last = 0;
  for (auto now = kStart; now < kStart + seconds(20); now += milliseconds(10)) {
    if (issuer.Issue(kTarget, {5}, kLast, now)) ++last;
    if (issuer.Issue(kTarget, {5}, kFirst, now)) ++first;
  }
  EXPECT_EQ(last, 0);
  EXPECT_GE(first, 95);
  // Alone they get all.
  EXPECT_GE(IssueAll(issuer, {5}, kStart + seconds(20), seconds(20), kLast),
            95);
}

TEST(PermitIssuerTest, RoutersThatAskInVainReturnOneAfterTheOther) {
  PermitIssuer issuer;
  issuer.Own(kTarget, kStart);
  const auto now = kStart + kPermitLifetime;
  const auto wait = issuer.TimeToNext(kTarget, {2}, kFirst, now);
  EXPECT_GE(wait, milliseconds(500));
  EXPECT_GT(issuer.TimeToNext(kTarget, {2}, kFirst, now), wait);
}

TEST(PermitIssuerTest, HandsOutItsShareOnly) {
  PermitIssuer issuer;
  issuer.SetShare(0.5);
  issuer.Own(kTarget, kStart);
  EXPECT_NEAR(IssueAll(issuer, {10}, kStart, seconds(20)), 98, 3);
}

TEST(PermitWalletTest, APermitLapses) {
  PermitWallet wallet;
  const auto nonce = wallet.Ask(kTarget, kFirst, kStart);
  EXPECT_FALSE(wallet.HasPermit(kTarget, kStart));
  EXPECT_EQ(wallet.RecordGrant(nonce, kStart + milliseconds(5)), kTarget);
  EXPECT_TRUE(wallet.HasPermit(kTarget, kStart + milliseconds(5)));
  EXPECT_FALSE(wallet.HasPermit(kTarget, kStart + kPermitLifetime));
}

TEST(PermitWalletTest, AReplyThatComesTwiceCountsOnce) {
  PermitWallet wallet;
  const auto nonce = wallet.Ask(kTarget, kFirst, kStart);
  wallet.RecordGrant(nonce, kStart);
  EXPECT_FALSE(wallet.RecordGrant(nonce, kStart));
  wallet.Take(kTarget);
  EXPECT_FALSE(wallet.HasPermit(kTarget, kStart));
}

TEST(PermitWalletTest, ARefusalOfOneClassHoldsBackNoBetterOne) {
  PermitWallet wallet;
  wallet.RecordRefusal(wallet.Ask(kTarget, kLast, kStart), seconds(1), kStart);
  EXPECT_EQ(wallet.AskTime(kTarget, kLast, kStart), kStart + seconds(1));
  EXPECT_LE(wallet.AskTime(kTarget, kFirst, kStart), kStart);
  wallet.RecordRefusal(wallet.Ask(kTarget, kFirst, kStart), seconds(2), kStart);
  EXPECT_EQ(wallet.AskTime(kTarget, kLast, kStart), kStart + seconds(2));
}

TEST(PermitWalletTest, ALatePermitIsStillTaken) {
  PermitWallet wallet;
  const auto nonce = wallet.Ask(kTarget, kFirst, kStart);
  wallet.RecordSilence(nonce, kStart + milliseconds(60));
  EXPECT_GT(wallet.AskTime(kTarget, kFirst, kStart + milliseconds(60)),
            kStart + milliseconds(60));
  wallet.RecordGrant(nonce, kStart + milliseconds(100));
  EXPECT_TRUE(wallet.HasPermit(kTarget, kStart + milliseconds(100)));
}

TEST(PermitWalletTest, OpenRequestsAreBounded) {
  PermitWallet wallet;
  auto asked = 0;
  while (asked < 1000 && wallet.AskTime(kTarget, kFirst, kStart) <= kStart) {
    wallet.Ask(kTarget, kFirst, kStart);
    ++asked;
  }
  EXPECT_LT(asked, 100);
  wallet.Tick(kStart + seconds(1));
  EXPECT_LE(wallet.AskTime(kTarget, kFirst, kStart + seconds(1)),
            kStart + seconds(1));
}

}  // namespace
}  // namespace papayaplank
