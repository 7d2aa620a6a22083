// Formatting, rate limits and non-blocking writes.
#include "relay/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

// Lines per second with the same event name, and the burst in seconds at that
// rate. They bound the processor time of logging on small instances.
constexpr double kFailureLinesPerSecond = 100;
constexpr double kRoutineLinesPerSecond = 4;
constexpr double kBurstSeconds = 2;

auto LinesPerSecond(LogClass log_class) -> double {
  return log_class == LogClass::kFailure ? kFailureLinesPerSecond
                                         : kRoutineLinesPerSecond;
}

// Longer texts are cut.
constexpr std::size_t kMaxTextBytes = 512;

// Ratios and times need no more than three decimals.
auto Rounded(double value) -> double {
  constexpr double kStepsPerUnit = 1000;
  return std::round(value * kStepsPerUnit) / kStepsPerUnit;
}

auto SetField(nlohmann::ordered_json& line, const char* name,
              const LogValue& value) -> void {
  if (const auto* number = std::get_if<double>(&value)) {
    line[name] = Rounded(*number);
    return;
  }
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    line[name] = text->size() <= kMaxTextBytes
                     ? std::string(*text)
                     : std::string(text->substr(0, kMaxTextBytes)) + "...";
    return;
  }
  std::visit([&line, name](const auto& v) { line[name] = v; }, value);
}

auto UnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

EventLog::EventLog(int descriptor, std::string router_name)
    : descriptor_(descriptor), router_name_(std::move(router_name)) {
  const auto flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

auto EventLog::TakeToken(LogClass log_class, std::string_view event, Time now)
    -> bool {
  if (log_class == LogClass::kState) return true;
  const auto rate = LinesPerSecond(log_class);
  const auto burst = rate * kBurstSeconds;
  const auto [entry, is_new] =
      buckets_.try_emplace(std::string(event), TokenBucket{burst, now});
  auto& bucket = entry->second;
  const auto elapsed =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.tokens = std::min(burst, bucket.tokens + elapsed * rate);
  bucket.filled_at = now;
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

auto EventLog::Write(LogClass log_class, std::string_view event,
                     LogFields fields) -> void {
  if (!TakeToken(log_class, event, MonotonicClock::now())) {
    ++dropped_;
    return;
  }
  nlohmann::ordered_json line;
  line["time_ms"] = UnixMilliseconds();
  line["router"] = router_name_;
  line["event"] = event;
  for (const auto& [name, value] : fields) {
    SetField(line, name, value);
  }
  if (dropped_ != reported_dropped_) {
    line["lines_dropped"] = dropped_;
    reported_dropped_ = dropped_;
  }
  // Invalid UTF-8 in text from a caller is replaced.
  WriteLine(
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

auto EventLog::WriteLine(const std::string& line) -> void {
  if (!partial_line_.empty()) {
    const auto written =
        write(descriptor_, partial_line_.data(), partial_line_.size());
    if (written > 0) partial_line_.erase(0, static_cast<std::size_t>(written));
    if (!partial_line_.empty()) {
      ++dropped_;
      return;
    }
  }
  const auto written = write(descriptor_, line.data(), line.size());
  if (written < 0) {
    ++dropped_;
    return;
  }
  if (static_cast<std::size_t>(written) < line.size()) {
    partial_line_ = line.substr(static_cast<std::size_t>(written));
  }
}

}  // namespace papayaplank
