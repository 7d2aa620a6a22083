// Readiness, addresses, metrics and snapshots.
#include "relay/info_service.h"

#include "platform/platform.h"
#include "relay/configuration_reader.h"

namespace papayaplank {
namespace {

// How long callers may cache the router addresses.
constexpr Duration kAddressLifetime = seconds(2);
constexpr char kJsonHeader[] = "Content-Type: application/json\r\n";
constexpr char kCborHeader[] = "Content-Type: application/cbor\r\n";
constexpr char kTextHeader[] = "Content-Type: text/plain\r\n";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kNotReady = 503;

auto SetMetric(MetricRegistry& metrics, const std::string& name, double value)
    -> void {
  metrics.SetValue("papayaplank_" + name, {}, value);
}

auto SetPoolMetrics(MetricRegistry& metrics, const PoolState& state) -> void {
  const std::vector<MetricLabel> labels = {{"pool", state.pool.value()}};
  metrics.SetValue("papayaplank_pool_targets", labels,
                   static_cast<double>(state.targets));
  metrics.SetValue("papayaplank_pool_slots", labels,
                   static_cast<double>(state.slots));
  metrics.SetValue("papayaplank_pool_requests", labels, state.requests);
  metrics.SetValue("papayaplank_pool_repeats_left", labels, state.retries_left);
}

auto SetRequestMetrics(const InfoSources& sources, MetricRegistry& metrics)
    -> void {
  const auto& counters = sources.context.core.counters();
  SetMetric(metrics, "requests_total", static_cast<double>(counters.requests));
  SetMetric(metrics, "refused_total", static_cast<double>(counters.refused));
  SetMetric(metrics, "sends_total", static_cast<double>(counters.attempts));
  SetMetric(metrics, "repeats_total", static_cast<double>(counters.retries));
  SetMetric(metrics, "completed_total",
            static_cast<double>(counters.completed));
  SetMetric(metrics, "failed_sends_total",
            static_cast<double>(counters.failed_attempts));
  SetMetric(metrics, "target_connections_total",
            static_cast<double>(sources.context.target_connections.opened()));
  SetMetric(metrics, "open_requests",
            static_cast<double>(sources.context.open_requests.size()));
}

auto SetRouterMetrics(const InfoSources& sources, MetricRegistry& metrics,
                      Time now) -> void {
  const auto& core = sources.context.core;
  SetMetric(metrics, "log_lines_dropped_total",
            static_cast<double>(sources.context.log.dropped()));
  const auto& eras = core.store_eras();
  SetMetric(metrics, "store_era", static_cast<double>(eras.current().value()));
  SetMetric(metrics, "store_era_changes_total",
            static_cast<double>(eras.changes()));
  SetMetric(metrics, "stale_messages_total",
            static_cast<double>(core.counters().stale_messages));
  SetMetric(metrics, "key_age_seconds",
            std::chrono::duration<double>(core.key_age(now)).count());
  SetMetric(metrics, "configuration_version",
            core.table() == nullptr
                ? 0
                : static_cast<double>(core.table()->version()));
  SetMetric(metrics, "targets", static_cast<double>(core.directory().size()));
  SetMetric(metrics, "routers_live",
            static_cast<double>(core.live_peers(now) + 1));
  SetMetric(metrics, "routers_serving",
            static_cast<double>(core.serving_peers(now) +
                                (core.is_ready(now) ? 1 : 0)));
  SetMetric(metrics, "store_calls_total",
            static_cast<double>(sources.store_calls()));
  const auto& quarantine = core.crash_guard().quarantine();
  SetMetric(metrics, "target_crashes_total",
            static_cast<double>(core.crash_guard().confirmed_crashes()));
  SetMetric(metrics, "parts_quarantined",
            static_cast<double>(quarantine.quarantined_count()));
  SetMetric(metrics, "parts_suspected",
            static_cast<double>(quarantine.suspect_count()));
  SetMetric(metrics, "data_centers_evacuated",
            static_cast<double>(core.evacuations().Evacuated().size()));
  const auto& budget = sources.context.budget;
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    const auto kind = static_cast<HeldKind>(i);
    SetMetric(metrics, "held_" + std::string(HeldKindName(kind)) + "_bytes",
              static_cast<double>(budget.held(kind)));
  }
  SetMetric(metrics, "memory_budget_bytes",
            static_cast<double>(budget.limit()));
  SetMetric(metrics, "requests_given_up_total",
            static_cast<double>(budget.given_up()));
  SetMetric(metrics, "is_ready", core.is_ready(now) ? 1 : 0);
  SetMetric(metrics, "is_watcher", core.is_watcher(now) ? 1 : 0);
  SetMetric(metrics, "lateness_seconds", core.load().lateness_ms() / 1000);
}

auto SetStatementMetrics(const InfoSources& sources, MetricRegistry& metrics,
                         Time now) -> void {
  const auto& guard = sources.context.core.target_guard();
  const auto& limits = guard.limits();
  SetMetric(
      metrics, "targets_leaving",
      static_cast<double>(sources.context.core.directory().departed_count()));
  SetMetric(metrics, "leaving_malformed_total",
            static_cast<double>(guard.malformed_leaving()));
  const auto& pauses = guard.pauses();
  SetMetric(metrics, "targets_pausing",
            static_cast<double>(pauses.Pausing(now).size()));
  SetMetric(metrics, "pauses_total", static_cast<double>(pauses.pauses()));
  SetMetric(metrics, "pauses_held_back_total",
            static_cast<double>(pauses.held_back()));
  SetMetric(metrics, "pauses_malformed_total",
            static_cast<double>(pauses.malformed()));
  SetMetric(metrics, "limits_malformed_total",
            static_cast<double>(limits.malformed()));
  const auto& permits = guard.counters();
  SetMetric(metrics, "permits_requested_total",
            static_cast<double>(permits.requested));
  SetMetric(metrics, "permits_granted_total",
            static_cast<double>(permits.granted));
  SetMetric(metrics, "permits_refused_total",
            static_cast<double>(permits.refused));
  SetMetric(metrics, "permits_unanswered_total",
            static_cast<double>(permits.unanswered));
  SetMetric(metrics, "permits_issued_total",
            static_cast<double>(guard.issuer().issued()));
  SetMetric(metrics, "targets_cold",
            static_cast<double>(guard.cold().Cold(now).size()));
  SetMetric(metrics, "targets_presumed_cold_total",
            static_cast<double>(guard.cold().presumed()));
  const auto limited = limits.Limited(now);
  SetMetric(metrics, "targets_limited", static_cast<double>(limited.size()));
  for (const auto& target : limited) {
    sources.context.metrics.SetLimit(target);
  }
}

auto RenderMetrics(const InfoSources& sources, Time now) -> std::string {
  auto& metrics = sources.context.metrics.registry();
  SetRequestMetrics(sources, metrics);
  SetRouterMetrics(sources, metrics, now);
  SetStatementMetrics(sources, metrics, now);
  for (const auto& state : sources.context.core.PoolStates(now)) {
    SetPoolMetrics(metrics, state);
  }
  return metrics.ToPrometheusText();
}

}  // namespace

auto AnswerDiscoveryRequest(const InfoSources& sources,
                            const std::shared_ptr<HttpConnection>& caller,
                            const HttpServerRequest& request) -> void {
  const auto now = MonotonicClock::now();
  const auto& context = sources.context;
  if (IsReadinessRequest(request.request_target)) {
    const auto is_ready =
        context.core.is_ready(now) && !context.core.is_leaving();
    return caller->Answer(is_ready ? kOk : kNotReady, "", "");
  }
  if (!IsDiscoveryRequest(request.request_target)) {
    return caller->Answer(kNotFound, "", "");
  }
  const auto addresses = context.core.CallerAddresses(
      ParseCallerDataCenter(request.request_target),
      ParseCallerHost(request.request_target), caller->caller_address(), now);
  context.log.Write(LogClass::kRoutine, "addresses_answered",
                    {{"count", static_cast<std::int64_t>(addresses.size())},
                     {"query", request.request_target},
                     {"caller", caller->caller_address()}});
  if (addresses.empty()) return caller->Answer(kNotReady, "", "");
  caller->Answer(kOk, kJsonHeader,
                 EncodeRouterAddresses(addresses, kAddressLifetime));
}

auto AnswerMetricsRequest(const InfoSources& sources,
                          const std::shared_ptr<HttpConnection>& caller,
                          const HttpServerRequest& request) -> void {
  if (request.request_target != "/metrics") {
    return caller->Answer(kNotFound, "", "");
  }
  caller->Answer(kOk, kTextHeader,
                 RenderMetrics(sources, MonotonicClock::now()));
}

auto AnswerSnapshotRequest(const InfoSources& sources,
                           const std::shared_ptr<HttpConnection>& caller,
                           const HttpServerRequest& request) -> void {
  if (request.request_target != kSnapshotPath) {
    return caller->Answer(kNotFound, "", "");
  }
  const auto snapshot = sources.context.core.MakeSnapshot();
  if (!snapshot) return caller->Answer(kNotReady, "", "");
  caller->Answer(kOk, kCborHeader, EncodePeerMessage(*snapshot));
}

}  // namespace papayaplank
