// Measures the time per log line: lines that are written, and lines that are
// dropped because of the limit on the volume of routine lines.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include "relay/relay.h"

namespace papayaplank {
namespace {

// Writes a refusal with all its fields.
auto WriteRequestLine(EventLog& log, LogClass log_class) -> void {
  log.Write(log_class, "request_refused",
            {{"request", "119e685fa91f6130"},
             {"caller", "100.66.0.9"},
             {"outcome", "over_share"},
             {"route", "r-az7tmt4"},
             {"customer", "jebo90"},
             {"target", "i-d43d829094"},
             {"sends", std::int64_t{1}},
             {"target_status", std::int64_t{200}},
             {"events", std::int64_t{12}},
             {"elapsed_ms", std::int64_t{2746}},
             {"first_byte_ms", std::int64_t{69}},
             {"caller_wait_ms", std::int64_t{2766}},
             {"retry_after_ms", std::int64_t{0}},
             {"queue_wait_ms", std::int64_t{105}},
             {"own_prefill_ms", std::int64_t{26}},
             {"longest_wait_ms", std::int64_t{293}},
             {"batch_share", 0.219},
             {"has_memory", true},
             {"share_used", 1.291},
             {"routers", std::int64_t{7}},
             {"configuration", std::int64_t{2}},
             {"key_age_ms", std::int64_t{1403}}});
}

auto WrittenLine(benchmark::State& state) -> void {
  EventLog log(open("/dev/null", O_WRONLY), "edge-krk-a-1");
  for (auto _ : state) WriteRequestLine(log, LogClass::kState);
}
BENCHMARK(WrittenLine);

auto DroppedLine(benchmark::State& state) -> void {
  EventLog log(open("/dev/null", O_WRONLY), "edge-krk-a-1");
  for (auto _ : state) WriteRequestLine(log, LogClass::kRoutine);
}
BENCHMARK(DroppedLine);

}  // namespace
}  // namespace papayaplank

BENCHMARK_MAIN();
