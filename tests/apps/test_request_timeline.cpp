// Tests of the timeline of a request, built from log lines of several routers.
#include <gtest/gtest.h>

#include <sstream>

#include "apps/request_timeline.h"

namespace papayaplank {
namespace {

auto TimelineFromLog(const std::string& log) -> RequestTimeline {
  std::istringstream in(log);
  RequestLogReader reader("r1");
  reader.Read(in);
  return reader.BuildTimeline();
}

TEST(RequestTimelineTest, LinesOfAllRoutersAreSortedByTime) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":30,"router":"b","event":"request_refused","request":"r1",)"
      R"("outcome":"target_failed"})"
      "\n"
      R"({"time_ms":10,"router":"a","event":"send_failed","request":"r1",)"
      R"("outcome":"broken","target":"t7","target_status":0,"events":0})"
      "\n"
      R"({"time_ms":20,"router":"a","event":"request_done","request":"r2"})"
      "\n");
  ASSERT_EQ(timeline.lines.size(), 2U);
  EXPECT_EQ(timeline.lines[0].router, "a");
  EXPECT_EQ(timeline.lines[1].router, "b");
  ASSERT_EQ(timeline.causes.size(), 2U);
  EXPECT_NE(timeline.causes[0].find("target t7 broke off"), std::string::npos);
}

TEST(RequestTimelineTest, ARefusalNamesTheValuesBehindIt) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":1,"router":"a","event":"request_refused","request":"r1",)"
      R"("outcome":"over_share","target":"t1","share_used":1.25,)"
      R"("queue_wait_ms":900,"longest_wait_ms":320,"batch_share":0.5,)"
      R"("has_memory":true})"
      "\n");
  ASSERT_EQ(timeline.causes.size(), 1U);
  EXPECT_NE(timeline.causes[0].find("1.25 of its even share"),
            std::string::npos);
  EXPECT_NE(timeline.causes[0].find("900 ms of waiting"), std::string::npos);
  EXPECT_NE(timeline.causes[0].find("320 ms were allowed"), std::string::npos);
}

TEST(RequestTimelineTest, ARefusedPartIsExplainedByItsQuarantine) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":100,"router":"b","event":"part_quarantined",)"
      R"("part":"5c1e07a2","crashes":3,"source":"own"})"
      "\n"
      R"({"time_ms":100,"router":"b","event":"part_quarantined",)"
      R"("part":"91bd","crashes":3,"source":"own"})"
      "\n"
      R"({"time_ms":90000,"router":"a","event":"request_refused",)"
      R"("request":"r1","outcome":"quarantined_part",)"
      R"("quarantined_part":"5c1e07a2","target":""})"
      "\n");
  ASSERT_EQ(timeline.causes.size(), 1U);
  EXPECT_NE(timeline.causes[0].find("part 5c1e07a2 of the prompt"),
            std::string::npos);
  ASSERT_EQ(timeline.background.size(), 1U);
  EXPECT_NE(timeline.background[0].fields.find("part=5c1e07a2"),
            std::string::npos);
}

// The other callers of a target that ended on somebody else's prompt.
TEST(RequestTimelineTest, ACutAnswerIsExplainedByTheCrashOfItsTarget) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":100,"router":"b","event":"target_crashed","target":"t1",)"
      R"("starting_parts":"5c1e07a2"})"
      "\n"
      R"({"time_ms":120,"router":"a","event":"answer_cut","request":"r1",)"
      R"("outcome":"broken","target":"t1","events":3,"elapsed_ms":300})"
      "\n");
  ASSERT_EQ(timeline.background.size(), 1U);
  EXPECT_EQ(timeline.background[0].event, "target_crashed");
}

TEST(RequestTimelineTest, BackgroundIsOfTheSameRouterOrTarget) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":100,"router":"a","event":"store_lost","call":"targets"})"
      "\n"
      R"({"time_ms":110,"router":"b","event":"store_lost","call":"targets"})"
      "\n"
      R"({"time_ms":120,"router":"b","event":"target_left","target":"t1"})"
      "\n"
      R"({"time_ms":130,"router":"a","event":"target_left","target":"t2"})"
      "\n"
      R"({"time_ms":200,"router":"a","event":"request_refused",)"
      R"("request":"r1","outcome":"no_target","target":"t1"})"
      "\n"
      R"({"time_ms":300,"router":"a","event":"store_regained"})"
      "\n");
  // The request concerns router a and target t1; the last line is after it.
  ASSERT_EQ(timeline.background.size(), 2U);
  EXPECT_EQ(timeline.background[0].event, "store_lost");
  EXPECT_EQ(timeline.background[0].router, "a");
  EXPECT_EQ(timeline.background[1].event, "target_left");
}

TEST(RequestTimelineTest, CutAnswersNameTheElapsedTimeOrTheTarget) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":1,"router":"a","event":"answer_cut","request":"r1",)"
      R"("outcome":"timeout","events":12,"elapsed_ms":2746,)"
      R"("caller_wait_ms":2766})"
      "\n"
      R"({"time_ms":2,"router":"a","event":"answer_cut","request":"r1",)"
      R"("outcome":"broken","target":"t3","events":4})"
      "\n");
  ASSERT_EQ(timeline.causes.size(), 2U);
  EXPECT_NE(timeline.causes[0].find("2766 ms"), std::string::npos);
  EXPECT_NE(timeline.causes[1].find("target t3 failed it"), std::string::npos);
}

TEST(RequestTimelineTest, ARestartedRouterExplainsMissingLines) {
  const auto timeline =
      TimelineFromLog(R"({"time_ms":1,"router":"a","event":"started"})"
                      "\n");
  // No line names the request; the start may be the reason.
  EXPECT_TRUE(timeline.lines.empty());
  ASSERT_EQ(timeline.starts.size(), 1U);
  EXPECT_EQ(timeline.starts[0].router, "a");
}

TEST(RequestTimelineTest, CollectorPrefixesAndForeignLinesAreSkipped) {
  // The first line counts without its prefix; the others are unreadable.
  const auto timeline = TimelineFromLog(
      "12.5 edge-1 | {\"time_ms\":1,\"router\":\"a\",\"event\":\"caller_left\","
      "\"request\":\"r1\",\"elapsed_ms\":7}\n"
      "Segmentation fault\n"
      "{\"time_ms\":2,\n");
  ASSERT_EQ(timeline.lines.size(), 1U);
  EXPECT_EQ(timeline.unreadable_lines, 2U);
  EXPECT_TRUE(TimelineFromLog("").lines.empty());
}

TEST(RequestTimelineTest, ARefusalForLimitsNamesThem) {
  const auto timeline = TimelineFromLog(
      R"({"time_ms":1,"router":"a","event":"target_limited","target":"t1",)"
      R"("limit_per_s":3.2,"age_ms":4,"source":"peer"})"
      "\n"
      R"({"time_ms":9,"router":"a","event":"request_refused","request":"r1",)"
      R"("outcome":"target_limits","target":"t1","retry_after_ms":310})"
      "\n");
  ASSERT_EQ(timeline.background.size(), 1U);
  EXPECT_EQ(timeline.background[0].event, "target_limited");
  ASSERT_EQ(timeline.causes.size(), 1U);
  EXPECT_NE(timeline.causes[0].find("no permit for t1"), std::string::npos);
  EXPECT_NE(timeline.causes[0].find("310 ms"), std::string::npos);
}

}  // namespace
}  // namespace papayaplank
