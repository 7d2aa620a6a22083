// Readiness, addresses and metrics.
#include "relay/info_service.h"

#include "platform/platform.h"

namespace papayaplank {
namespace {

// How long callers may keep an answer with addresses.
constexpr Duration kAddressLifetime = seconds(2);
constexpr char kJsonHeader[] = "Content-Type: application/json\r\n";
constexpr char kTextHeader[] = "Content-Type: text/plain\r\n";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kNotReady = 503;

auto AppendMetric(std::string& text, const char* name, double value) -> void {
  text.append("papayaplank_").append(name).append(" ");
  text.append(std::to_string(value)).append("\n");
}

auto RenderMetrics(const RelayContext& context, Time now) -> std::string {
  const auto& core = context.core;
  const auto& counters = core.counters();
  std::string text;
  AppendMetric(text, "requests_total", static_cast<double>(counters.requests));
  AppendMetric(text, "refused_total", static_cast<double>(counters.refused));
  AppendMetric(text, "sends_total", static_cast<double>(counters.sends));
  AppendMetric(text, "repeats_total", static_cast<double>(counters.repeats));
  AppendMetric(text, "completed_total",
               static_cast<double>(counters.completed));
  AppendMetric(text, "failed_sends_total",
               static_cast<double>(counters.failed_sends));
  AppendMetric(text, "target_connections_total",
               static_cast<double>(context.pool.opened()));
  AppendMetric(text, "open_requests",
               static_cast<double>(context.open_exchanges));
  AppendMetric(text, "log_lines_dropped_total",
               static_cast<double>(context.log.dropped()));
  AppendMetric(text, "key_age_seconds",
               std::chrono::duration<double>(core.key_age(now)).count());
  AppendMetric(text, "targets", static_cast<double>(core.directory().size()));
  AppendMetric(text, "configuration_version",
               core.table() == nullptr
                   ? 0
                   : static_cast<double>(core.table()->version()));
  return text;
}

}  // namespace

auto AnswerInfoRequest(const RelayContext& context,
                       const std::shared_ptr<HttpConnection>& caller,
                       const HttpServerRequest& request) -> void {
  const auto now = FleetClock::now();
  if (IsReadinessQuery(request.target)) {
    const auto is_ready =
        context.core.is_ready(now) && !context.core.is_leaving();
    return caller->Answer(is_ready ? kOk : kNotReady, "", "");
  }
  if (IsAddressQuery(request.target)) {
    const auto addresses =
        context.core.CallerAddresses(CallerDataCenter(request.target), now);
    context.log.Write(LogClass::kRoutine, "addresses_answered",
                      {{"count", static_cast<std::int64_t>(addresses.size())},
                       {"query", request.target}});
    if (addresses.empty()) return caller->Answer(kNotReady, "", "");
    return caller->Answer(kOk, kJsonHeader,
                          EncodeAddresses(addresses, kAddressLifetime));
  }
  if (request.target == "/metrics") {
    return caller->Answer(kOk, kTextHeader, RenderMetrics(context, now));
  }
  caller->Answer(kNotFound, "", "");
}

}  // namespace papayaplank
