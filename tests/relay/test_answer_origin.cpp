// Attribution of answers to requests, and reuse of connections after them.
#include <gtest/gtest.h>

#include "relay/answer_origin.h"

namespace papayaplank {
namespace {

constexpr char kRequest[] = "a1";
constexpr PastRefusals kAllPastRefusals[] = {
    PastRefusals::kNone, PastRefusals::kWithId, PastRefusals::kWithoutId};

auto Refusal(int status, const std::string& request_id) -> TargetAnswer {
  HttpFields fields = {{"Not-Executed", "1"}};
  if (!request_id.empty()) fields.emplace_back("Attempt-Id", request_id);
  return DecodeTargetAnswer(status, fields);
}

auto SignedAnswer(int status, const std::string& request_id) -> TargetAnswer {
  HttpFields fields = {{"Runner-Signature", "s"}};
  if (!request_id.empty()) fields.emplace_back("Attempt-Id", request_id);
  return DecodeTargetAnswer(status, fields);
}

TEST(AnswerOriginTest, AnIdDecidesWhateverTheStatus) {
  for (const auto status : {200, 400, 404, 421, 429, 500, 503}) {
    for (const auto past : kAllPastRefusals) {
      for (const auto is_repeatable : {false, true}) {
        for (const auto& answer :
             {Refusal(status, kRequest), SignedAnswer(status, kRequest)}) {
          EXPECT_EQ(FindAnswerOrigin(answer, kRequest, is_repeatable, past),
                    AnswerOrigin::kThisRequest);
          EXPECT_EQ(FindAnswerOrigin(answer, "b2", is_repeatable, past),
                    AnswerOrigin::kOtherRequest);
          EXPECT_EQ(FindAnswerOrigin(answer, "", is_repeatable, past),
                    AnswerOrigin::kOtherRequest);
        }
      }
    }
  }
}

TEST(AnswerOriginTest, ARefusalThatMayBeAnEarlierOneSaysNothingOfOneRun) {
  for (const auto status : {400, 421, 429, 503}) {
    const auto refusal = Refusal(status, "");
    EXPECT_EQ(FindAnswerOrigin(refusal, kRequest, false, PastRefusals::kNone),
              AnswerOrigin::kThisRequest);
    for (const auto past : {PastRefusals::kWithId, PastRefusals::kWithoutId}) {
      EXPECT_EQ(FindAnswerOrigin(refusal, kRequest, false, past),
                AnswerOrigin::kUnknown);
      EXPECT_EQ(FindAnswerOrigin(refusal, "", false, past),
                AnswerOrigin::kUnknown);
      EXPECT_EQ(FindAnswerOrigin(refusal, kRequest, true, past),
                AnswerOrigin::kThisRequest);
    }
  }
}

TEST(AnswerOriginTest, OtherAnswersNeedTheId) {
  for (const auto status : {200, 404, 500}) {
    for (const auto past : kAllPastRefusals) {
      const auto answer = SignedAnswer(status, "");
      EXPECT_EQ(FindAnswerOrigin(answer, kRequest, true, past),
                AnswerOrigin::kUnknown);
      EXPECT_EQ(FindAnswerOrigin(answer, "", false, past),
                AnswerOrigin::kThisRequest);
    }
  }
}

TEST(AnswerOriginTest, OnlyARefusalWithoutIdRestrictsItsConnection) {
  EXPECT_TRUE(MayCarry(RefusalKind(SignedAnswer(200, kRequest)), false));
  EXPECT_TRUE(MayCarry(RefusalKind(Refusal(503, kRequest)), false));
  EXPECT_FALSE(MayCarry(RefusalKind(Refusal(503, "")), false));
  EXPECT_TRUE(MayCarry(RefusalKind(Refusal(503, "")), true));
}

TEST(AnswerOriginTest, NoReuseAfterAnAnswerThatCannotBeToldFromTheNext) {
  EXPECT_TRUE(IsReusableAfter(SignedAnswer(200, kRequest)));
  EXPECT_TRUE(IsReusableAfter(Refusal(503, kRequest)));
  EXPECT_TRUE(IsReusableAfter(Refusal(503, "")));
  EXPECT_FALSE(IsReusableAfter(SignedAnswer(200, "")));
  EXPECT_FALSE(IsReusableAfter(TargetAnswer{}));
  EXPECT_FALSE(IsReusableAfter(Refusal(421, kRequest)));
}

TEST(AnswerOriginTest, OnlyRoutesWhoseRequestsMayRunTwiceAreRepeatable) {
  Route route;
  route.is_resumable = true;
  route.kind = RequestKind::kIdempotent;
  EXPECT_TRUE(IsRepeatable(route));
  route.kind = RequestKind::kStream;
  EXPECT_TRUE(IsRepeatable(route));
  route.is_resumable = false;
  EXPECT_FALSE(IsRepeatable(route));
}

}  // namespace
}  // namespace papayaplank
