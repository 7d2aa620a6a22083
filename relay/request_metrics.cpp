// Names and labels of the request metrics.
#include "relay/request_metrics.h"

namespace papayaplank {
namespace {

auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto RequestMetrics::RecordAttempt(const TargetId& target,
                                   AttemptOutcome outcome) -> void {
  registry_.IncrementCounter(
      "papayaplank_target_sends_total",
      {{"target", targets_.LabelFor(target.value())},
       {"outcome", std::string(AttemptOutcomeName(outcome))}});
}

auto RequestMetrics::RecordTransferEnd(std::string_view end) -> void {
  registry_.IncrementCounter("papayaplank_target_transfer_ends_total",
                             {{"end", std::string(end)}});
}

auto RequestMetrics::SetLimit(const LimitedTarget& limited) -> void {
  const std::vector<MetricLabel> labels = {
      {"target", targets_.LabelFor(limited.target.value())}};
  registry_.SetValue("papayaplank_target_limit_per_second", labels,
                     limited.limit.per_second);
  registry_.SetValue("papayaplank_target_limit_age_seconds", labels,
                     ToSeconds(limited.age));
  registry_.SetValue("papayaplank_target_limit_window_sends", labels,
                     static_cast<double>(limited.sends));
}

auto RequestMetrics::RecordFirstByte(const RequestLabels& labels,
                                     const TargetId& target,
                                     Duration since_arrival,
                                     Duration since_attempt_start) -> void {
  registry_.Observe(Measure::kFirstByte, labels.customer, labels.request_class,
                    ToSeconds(since_arrival));
  registry_.Observe(Measure::kFirstByte, target,
                    ToSeconds(since_attempt_start));
}

auto RequestMetrics::RecordAnswer(const RequestLabels& labels,
                                  std::string_view outcome,
                                  Duration since_arrival) -> void {
  registry_.IncrementCounter(
      "papayaplank_answers_total",
      {{"class", classes_.LabelFor(labels.request_class.value())},
       {"outcome", std::string(outcome)}});
  registry_.Observe(Measure::kAnswerTime, labels.customer, labels.request_class,
                    ToSeconds(since_arrival));
}

}  // namespace papayaplank
