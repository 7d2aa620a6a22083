// Splits server-sent events and reads their costs.
#include "transport/stream_parser.h"

#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
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
  completed.events.append(event);
  if (event.substr(0, kDataPrefix.size()) != kDataPrefix) return;
  auto data = event.substr(kDataPrefix.size());
  data.remove_suffix(kEventEnd.size());
  if (data == kDone) {
    is_done_ = true;
    return;
  }
  if (data.find("\"usage\"") != std::string_view::npos) {
    const auto cost = ParseUsageCost(Json::parse(data, nullptr, false));
    if (cost) {
      reported_cost_ = cost;
      return;
    }
  }
  ++completed.tokens;
}

auto ParseAnswerCost(std::string_view body) -> std::optional<double> {
  return ParseUsageCost(Json::parse(body, nullptr, false));
}

}  // namespace papayaplank
