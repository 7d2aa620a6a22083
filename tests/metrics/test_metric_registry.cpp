// Histograms, quantiles and the Prometheus text format.
#include <gtest/gtest.h>

#include "metrics/metrics.h"

namespace papayaplank {
namespace {

const CustomerId kCustomer("guild");
const ClassId kClass("report");

TEST(MetricRegistryTest, TextHasBucketsSumAndCount) {
  MetricRegistry metrics;
  metrics.Observe(Measure::kQueueWait, kCustomer, kClass, 0.01);
  metrics.Observe(Measure::kQueueWait, kCustomer, kClass, 0.02);
  // Underflow and overflow of the axis.
  metrics.Observe(Measure::kQueueWait, kCustomer, kClass, 0);
  metrics.Observe(Measure::kQueueWait, kCustomer, kClass, 1e9);
  metrics.IncrementCounter("things_total", {{"kind", "a\"b"}}, 3);
  const auto text = metrics.ToPrometheusText();
  EXPECT_NE(text.find("things_total{kind=\"a\\\"b\"} 3"), std::string::npos);
  EXPECT_NE(text.find("papayaplank_queue_wait_seconds_bucket{customer="
                      "\"guild\",class=\"report\",le=\"+Inf\"} 4"),
            std::string::npos);
  EXPECT_NE(text.find("_count{customer=\"guild\",class=\"report\"} 4"),
            std::string::npos);
}

TEST(MetricRegistryTest, QuantilesAreNearTheObservations) {
  MetricRegistry metrics;
  for (int i = 1; i <= 100; ++i) {
    metrics.Observe(Measure::kFirstByte, kCustomer, kClass, i * 0.01);
  }
  const auto result =
      metrics.ComputeQuantiles(Measure::kFirstByte, kCustomer, kClass);
  EXPECT_EQ(result.count, 100U);
  EXPECT_NEAR(result.p50, 0.5, 0.2);
  EXPECT_NEAR(result.p99, 0.99, 0.4);
}

TEST(MetricRegistryTest, NumberOfCustomerLabelsIsBounded) {
  MetricRegistry metrics;
  for (int i = 0; i < 1000; ++i) {
    metrics.Observe(Measure::kFirstByte, CustomerId(std::to_string(i)), kClass,
                    1);
  }
  EXPECT_LE(metrics.ObservedLabels(Measure::kFirstByte).size(), 65U);
  EXPECT_EQ(metrics.ComputeQuantiles(Measure::kFirstByte, {}, {}).count, 1000U);
}

}  // namespace
}  // namespace papayaplank
