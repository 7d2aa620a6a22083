// Attribution of answers to requests, and reuse of connections after them.
#include <gtest/gtest.h>

#include "relay/answer_origin.h"

namespace papayaplank {
namespace {

constexpr char kRequest[] = "a1";

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
    for (const auto has_carried_refusal : {false, true}) {
      for (const auto& answer :
           {Refusal(status, kRequest), SignedAnswer(status, kRequest)}) {
        EXPECT_EQ(FindAnswerOrigin(answer, kRequest, has_carried_refusal),
                  AnswerOrigin::kThisRequest);
        EXPECT_EQ(FindAnswerOrigin(answer, "b2", has_carried_refusal),
                  AnswerOrigin::kOtherRequest);
        EXPECT_EQ(FindAnswerOrigin(answer, "", has_carried_refusal),
                  AnswerOrigin::kOtherRequest);
      }
    }
  }
}

// Guards against a 503 for a request that runs.
TEST(AnswerOriginTest, ARefusalThatMayBeAnEarlierOneSaysNothing) {
  for (const auto status : {400, 421, 429, 503}) {
    const auto refusal = Refusal(status, "");
    EXPECT_EQ(FindAnswerOrigin(refusal, kRequest, false),
              AnswerOrigin::kThisRequest);
    EXPECT_EQ(FindAnswerOrigin(refusal, "", false), AnswerOrigin::kThisRequest);
    EXPECT_EQ(FindAnswerOrigin(refusal, kRequest, true),
              AnswerOrigin::kUnknown);
    EXPECT_EQ(FindAnswerOrigin(refusal, "", true), AnswerOrigin::kUnknown);
  }
}

TEST(AnswerOriginTest, OtherAnswersNeedTheId) {
  for (const auto status : {200, 404, 500}) {
    for (const auto has_carried_refusal : {false, true}) {
      const auto answer = SignedAnswer(status, "");
      EXPECT_EQ(FindAnswerOrigin(answer, kRequest, has_carried_refusal),
                AnswerOrigin::kUnknown);
      EXPECT_EQ(FindAnswerOrigin(answer, "", has_carried_refusal),
                AnswerOrigin::kThisRequest);
    }
  }
}

TEST(AnswerOriginTest, StatementsThatARequestHasNotRunAreRefusals) {
  EXPECT_TRUE(IsRefusal(Refusal(503, kRequest)));
  EXPECT_TRUE(IsRefusal(Refusal(400, "")));
  EXPECT_TRUE(IsRefusal(SignedAnswer(421, kRequest)));
  EXPECT_FALSE(IsRefusal(SignedAnswer(503, kRequest)));
  EXPECT_FALSE(IsRefusal(TargetAnswer{}));
}

TEST(AnswerOriginTest, NoReuseAfterAnAnswerThatCannotBeToldFromTheNext) {
  EXPECT_TRUE(IsReusableAfter(SignedAnswer(200, kRequest)));
  EXPECT_TRUE(IsReusableAfter(Refusal(503, kRequest)));
  EXPECT_FALSE(IsReusableAfter(Refusal(503, "")));
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
