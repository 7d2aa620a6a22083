// Counters and latency histograms of requests, by class, customer, target and
// outcome. A class is a route of the configuration.
#ifndef RELAY_REQUEST_METRICS_H_
#define RELAY_REQUEST_METRICS_H_

#include <string>
#include <string_view>

#include "gateway/gateway.h"
#include "metrics/metrics.h"

namespace papayaplank {

// Labels of a request's metrics.
struct RequestLabels {
  // Empty on public routes and for unknown keys.
  CustomerId customer;
  // Empty if no route matched.
  ClassId request_class;
};

// Metrics of requests and attempts. Other metrics of the router are added to
// `registry`.
class RequestMetrics {
 public:
  // An attempt at a target has ended.
  auto RecordAttempt(const TargetId& target, AttemptOutcome outcome) -> void;
  // The transfer of an attempt has ended, as `end` names it.
  auto RecordTransferEnd(std::string_view end) -> void;
  // The first event of a stream, or a complete other answer, has arrived.
  auto RecordFirstByte(const RequestLabels& labels, const TargetId& target,
                       Duration since_arrival, Duration since_attempt_start)
      -> void;
  // The request has ended. `outcome` is the reason of a refusal, or how the
  // answer ended.
  auto RecordAnswer(const RequestLabels& labels, std::string_view outcome,
                    Duration since_arrival) -> void;

  // State of a target that names a limit.
  auto SetLimit(const LimitedTarget& limited) -> void;

  auto registry() -> MetricRegistry& { return registry_; }

 private:
  MetricRegistry registry_;
  BoundedLabelValues classes_{kMaxClassLabels};
  BoundedLabelValues targets_{kMaxTargetLabels};
};

}  // namespace papayaplank

#endif  // RELAY_REQUEST_METRICS_H_
