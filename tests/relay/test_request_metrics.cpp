// Request metrics in the Prometheus text format.
#include <gtest/gtest.h>

#include "relay/request_metrics.h"

namespace papayaplank {
namespace {

const RequestLabels kLabels{CustomerId("guild"), ClassId("report")};

TEST(RequestMetricsTest, HasClassCustomerTargetAndOutcome) {
  RequestMetrics metrics;
  metrics.RecordAttempt(TargetId("t1"), AttemptOutcome::kBroken);
  metrics.RecordFirstByte(kLabels, TargetId("t1"), milliseconds(120),
                          milliseconds(20));
  metrics.RecordAnswer(kLabels, "no_room", milliseconds(3));
  metrics.RecordTransferEnd("closed");
  const auto text = metrics.registry().ToPrometheusText();
  for (const auto* line :
       {"papayaplank_target_sends_total{target=\"t1\",outcome=\"broken\"} 1",
        "papayaplank_target_transfer_ends_total{end=\"closed\"} 1",
        "papayaplank_answers_total{class=\"report\",outcome=\"no_room\"} 1",
        "papayaplank_first_byte_seconds_count{customer=\"guild\","
        "class=\"report\"} 1",
        "papayaplank_first_byte_seconds_count{target=\"t1\"} 1",
        "papayaplank_answer_seconds_sum{customer=\"guild\",class=\"report\"} "
        "0.003"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line;
  }
}

TEST(RequestMetricsTest, SizeOfTextIsBounded) {
  RequestMetrics metrics;
  constexpr int kNames = 3000;
  for (int i = 0; i < kNames; ++i) {
    const auto name = std::to_string(i);
    const RequestLabels labels{CustomerId(name), ClassId(name)};
    metrics.RecordAttempt(TargetId(name), AttemptOutcome::kComplete);
    metrics.RecordFirstByte(labels, TargetId(name), milliseconds(1),
                            milliseconds(1));
    metrics.RecordAnswer(labels, "complete", milliseconds(1));
  }
  constexpr std::size_t kMaxBytes = 300000;
  EXPECT_LT(metrics.registry().ToPrometheusText().size(), kMaxBytes);
}

}  // namespace
}  // namespace papayaplank
