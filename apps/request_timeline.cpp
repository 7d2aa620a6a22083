// Selects the log lines that concern a request and explains them.
#include "apps/request_timeline.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace papayaplank {
namespace {

using Json = nlohmann::ordered_json;

// How long before the first line of a request its background begins; older
// state changes rarely explain it.
constexpr std::int64_t kBackgroundWindowMs = 10000;

auto TextField(const Json& line, const char* name) -> std::string {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

auto NumberField(const Json& line, const char* name) -> double {
  const auto found = line.find(name);
  return found != line.end() && found->is_number() ? found->get<double>() : 0;
}

auto DisplayField(const Json& line, const char* name) -> std::string {
  const auto found = line.find(name);
  if (found == line.end()) return "?";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

auto FormatFields(const Json& line) -> std::string {
  static const std::set<std::string> kLeading = {"time_ms", "router", "event"};
  std::string text;
  for (const auto& [name, value] : line.items()) {
    if (kLeading.count(name) != 0) continue;
    text += (text.empty() ? "" : " ") + name + "=" +
            DisplayField(line, name.c_str());
  }
  return text;
}

// Explains why the best target could not start the request in time.
auto ExplainNoRoom(const Json& line) -> std::string {
  if (NumberField(line, "batch_share") >= 1) {
    return "the batch of the best target, " + DisplayField(line, "target") +
           ", was full (batch_share " + DisplayField(line, "batch_share") + ")";
  }
  const auto has_memory = line.find("has_memory");
  if (has_memory != line.end() && has_memory->is_boolean() &&
      !has_memory->get<bool>()) {
    return "the best target, " + DisplayField(line, "target") +
           ", had no memory left for the prompt";
  }
  return "the best target, " + DisplayField(line, "target") +
         ", would have started it after " +
         DisplayField(line, "queue_wait_ms") + " ms of waiting; " +
         DisplayField(line, "longest_wait_ms") + " ms were allowed";
}

auto ExplainRefusal(const Json& line) -> std::string {
  const auto outcome = TextField(line, "outcome");
  if (outcome == "no_room") return ExplainNoRoom(line);
  if (outcome == "over_share") {
    return "the customer had used " + DisplayField(line, "share_used") +
           " of its even share, and " + ExplainNoRoom(line);
  }
  if (outcome == "targets_paused") {
    return "every target asked this router for a pause (see target_pausing); "
           "refused until the first one ends";
  }
  if (outcome == "target_limits") {
    return "every target named a limit that was used up (see target_limited); "
           "the router got no permit for " +
           DisplayField(line, "target") +
           " or any other and expected one after " +
           DisplayField(line, "retry_after_ms") + " ms";
  }
  if (outcome == "quarantined_part") {
    return "part " + DisplayField(line, "quarantined_part") +
           " of the prompt is quarantined: targets crashed one after the other "
           "as they began to answer requests with it (see part_quarantined)";
  }
  if (outcome == "key_unconfirmed") {
    return "the router's keys were last confirmed " +
           DisplayField(line, "key_age_ms") +
           " ms before; neither the store nor a peer answered the router";
  }
  if (outcome == "configuration_unconfirmed") {
    return "the configuration in force has no such route or key, but was last "
           "confirmed " +
           DisplayField(line, "key_age_ms") +
           " ms before, so that a newer one may have it";
  }
  static const std::map<std::string, std::string> kExplanations = {
      {"no_configuration", "the router had no configuration yet"},
      {"no_route", "no route of the configuration matches"},
      {"unknown_key", "the key belongs to no customer of the configuration"},
      {"no_target", "no target served the pool, or all were tried"},
      {"router_busy", "the router's processor was saturated"},
      {"leaving", "the router was stopping"},
      {"stopped", "the router ended while a target was at work"},
      {"deadline",
       "the deadline passed before the request was sent to a target"},
      {"not_executed", "the targets refused it before it ran"},
      {"target_failed", "a target failed, and the request may have run there"},
      {"timeout", "a target had the request and did not complete it in time"},
  };
  const auto explanation = kExplanations.find(outcome);
  return explanation == kExplanations.end() ? "" : explanation->second;
}

auto ExplainFailedAttempt(const Json& line) -> std::string {
  const auto target = DisplayField(line, "target");
  static const std::map<std::string, std::string> kExplanations = {
      {"server_error", "answered with a server error"},
      {"not_executed", "refused the request before running it"},
      {"wrong_target", "has left; another target has its address"},
      {"not_reached", "accepted no connection"},
      {"broken",
       "broke off, or its answer was incomplete or to another request"},
      {"cancelled",
       "got a cancellation, as the caller left or the deadline passed"},
  };
  const auto explanation = kExplanations.find(TextField(line, "outcome"));
  if (explanation == kExplanations.end()) return "";
  return "target " + target + " " + explanation->second + " (status " +
         DisplayField(line, "target_status") + ", " +
         DisplayField(line, "events") + " events relayed)";
}

auto ExplainCutAnswer(const Json& line) -> std::string {
  const auto begin = "the answer was cut after " +
                     DisplayField(line, "events") + " events and " +
                     DisplayField(line, "elapsed_ms") + " ms: ";
  if (TextField(line, "outcome") == "timeout") {
    return begin + "the caller's " + DisplayField(line, "caller_wait_ms") +
           " ms or the route's timeout had passed";
  }
  return begin + "target " + DisplayField(line, "target") +
         " failed it and no other target could resume it";
}

auto ExplainLine(const Json& line) -> std::string {
  const auto event = TextField(line, "event");
  if (event == "request_refused") return ExplainRefusal(line);
  if (event == "send_failed") return ExplainFailedAttempt(line);
  if (event == "answer_cut") return ExplainCutAnswer(line);
  if (event == "caller_left" && NumberField(line, "sends") == 0) {
    return "the caller had left before the request was sent to a target";
  }
  if (event == "caller_left") {
    return "the caller left after " + DisplayField(line, "elapsed_ms") +
           " of " + DisplayField(line, "caller_wait_ms") + " ms, with " +
           DisplayField(line, "events") + " events; target " +
           DisplayField(line, "target") + " was still working on it";
  }
  if (event == "failure_relayed") {
    return "the caller got the failure that target " +
           DisplayField(line, "target") + " answered, after " +
           DisplayField(line, "sends") + " attempt(s)";
  }
  if (event == "request_done") {
    return "the answer was complete after " + DisplayField(line, "elapsed_ms") +
           " ms, its first part after " + DisplayField(line, "first_byte_ms") +
           " ms";
  }
  return "";
}

// Whether the event changes the state of a router or target.
auto IsStateEvent(const std::string& event) -> bool {
  static const std::set<std::string> kEvents = {"started",
                                                "stopping",
                                                "store_lost",
                                                "store_regained",
                                                "store_era_changed",
                                                "target_left",
                                                "target_joined",
                                                "target_restarted",
                                                "target_crashed",
                                                "target_limited",
                                                "target_limit_ended",
                                                "target_leaving",
                                                "target_pausing",
                                                "target_pause_ended",
                                                "part_quarantined",
                                                "part_released",
                                                "process_stood_still",
                                                "reload",
                                                "configuration_in_force",
                                                "configuration_rejected"};
  return kEvents.count(event) != 0;
}

auto IsEarlier(const LogLine& a, const LogLine& b) -> bool {
  return a.time_ms < b.time_ms;
}

}  // namespace

auto RequestLogReader::Read(std::istream& in) -> void {
  std::string text;
  while (std::getline(in, text)) ReadLine(text);
}

auto RequestLogReader::ReadLine(const std::string& text) -> void {
  const auto begin = text.find('{');
  if (begin == std::string::npos) {
    ++unreadable_lines_;
    return;
  }
  const auto json =
      Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                  nullptr, false);
  if (!json.is_object() || TextField(json, "event").empty()) {
    ++unreadable_lines_;
    return;
  }
  const auto is_of_request = TextField(json, "request") == request_;
  const auto event = TextField(json, "event");
  if (!is_of_request && !IsStateEvent(event)) return;
  ExplainedLine line;
  line.log_line = {static_cast<std::int64_t>(NumberField(json, "time_ms")),
                   TextField(json, "router"), event, FormatFields(json)};
  line.outcome = TextField(json, "outcome");
  line.target = TextField(json, "target");
  line.part = TextField(json, is_of_request ? "quarantined_part" : "part");
  line.cause = ExplainLine(json);
  (is_of_request ? request_lines_ : state_lines_).push_back(std::move(line));
}

auto RequestLogReader::BuildTimeline() const -> RequestTimeline {
  RequestTimeline timeline;
  timeline.unreadable_lines = unreadable_lines_;
  for (const auto& line : state_lines_) {
    if (line.log_line.event == "started") {
      timeline.starts.push_back(line.log_line);
    }
  }
  if (request_lines_.empty()) return timeline;
  auto request_lines = request_lines_;
  std::stable_sort(request_lines.begin(), request_lines.end(),
                   [](const ExplainedLine& a, const ExplainedLine& b) {
                     return IsEarlier(a.log_line, b.log_line);
                   });
  std::set<std::string> routers;
  std::set<std::string> targets;
  std::set<std::string> parts;
  for (const auto& line : request_lines) {
    timeline.lines.push_back(line.log_line);
    routers.insert(line.log_line.router);
    if (!line.target.empty()) targets.insert(line.target);
    if (!line.part.empty()) parts.insert(line.part);
    if (!line.cause.empty()) timeline.causes.push_back(line.cause);
  }
  const auto first = request_lines.front().log_line.time_ms;
  const auto last = request_lines.back().log_line.time_ms;
  for (const auto& line : state_lines_) {
    if (line.log_line.time_ms > last) continue;
    if (!line.part.empty()) {
      if (parts.count(line.part) != 0) {
        timeline.background.push_back(line.log_line);
      }
      continue;
    }
    const auto is_near = line.log_line.time_ms >= first - kBackgroundWindowMs;
    const auto is_related = line.target.empty()
                                ? routers.count(line.log_line.router) != 0
                                : targets.count(line.target) != 0;
    if (is_near && is_related) timeline.background.push_back(line.log_line);
  }
  std::stable_sort(timeline.background.begin(), timeline.background.end(),
                   IsEarlier);
  return timeline;
}

}  // namespace papayaplank
