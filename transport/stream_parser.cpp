// Splits server-sent events and reads their costs.
#include "transport/stream_parser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";
// A prompt token costs a tenth of a generated one.
constexpr double kPromptTokenCost = 0.1;

auto ParseUsageCost(const Json& json) -> std::optional<double> {
  if (!json.is_object() || !json.contains("usage")) return std::nullopt;
  const auto& usage = json["usage"];
  if (!usage.is_object()) return std::nullopt;
  const auto count = [&usage](const char* name) -> double {
    if (!usage.contains(name) || !usage[name].is_number()) return 0;
    return usage[name].get<double>();
  };
  return count("completion_tokens") + kPromptTokenCost * count("prompt_tokens");
}

// Whether an event that reports a cost carries a token as well.
auto HasChoices(const Json& json) -> bool {
  return json.contains("choices") && !json["choices"].empty();
}

// The data of an event: its data lines without the name of the field; none if
// it has no such line.
auto EventData(std::string_view event) -> std::optional<std::string> {
  std::optional<std::string> data;
  while (!event.empty()) {
    const auto end = std::min(event.find('\n'), event.size() - 1);
    auto line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.substr(0, kDataField.size()) != kDataField) continue;
    line.remove_prefix(kDataField.size());
    if (line.substr(0, 1) == " ") line.remove_prefix(1);
    data = data ? *data + "\n" : std::string();
    data->append(line);
  }
  return data;
}

}  // namespace

auto StreamParser::Feed(std::string_view bytes) -> CompletedEvents {
  CompletedEvents completed;
  if (is_done_) return completed;
  // The end of an event may span the buffered bytes and the new ones.
  auto search_from = partial_event_.empty() ? 0 : partial_event_.size() - 1;
  partial_event_.append(bytes);
  std::size_t start = 0;
  while (!is_done_) {
    const auto end = partial_event_.find(kEventEnd, search_from);
    if (end == std::string::npos) break;
    const auto next = end + kEventEnd.size();
    const std::string_view all = partial_event_;
    ProcessEvent(all.substr(start, next - start), completed);
    start = next;
    search_from = next;
  }
  partial_event_.erase(0, start);
  return completed;
}

auto StreamParser::ProcessEvent(std::string_view event,
                                CompletedEvents& completed) -> void {
  const auto data = EventData(event);
  is_done_ = data == kDone;
  auto is_token = data.has_value() && !is_done_;
  if (is_token && data->find("\"usage\"") != std::string::npos) {
    const auto json = Json::parse(*data, nullptr, false);
    const auto cost = ParseUsageCost(json);
    if (cost) reported_cost_ = cost;
    if (cost && !HasChoices(json)) {
      held_events_.append(event);
      return;
    }
  }
  if (!is_token && !is_done_ && !held_events_.empty()) {
    held_events_.append(event);
    return;
  }
  completed.events.append(held_events_);
  held_events_.clear();
  completed.events.append(event);
  if (is_token) ++completed.tokens;
}

auto ParseAnswerCost(std::string_view body) -> std::optional<double> {
  return ParseUsageCost(Json::parse(body, nullptr, false));
}

}  // namespace papayaplank
