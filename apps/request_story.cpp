// Selection and explanation of log lines.
#include "apps/request_story.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace papayaplank {
namespace {

using Json = nlohmann::ordered_json;

// Changes that are older than this rarely explain a request.
constexpr std::int64_t kBackgroundMs = 10000;

auto Text(const Json& line, const char* name) -> std::string {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

auto Number(const Json& line, const char* name) -> double {
  const auto found = line.find(name);
  return found != line.end() && found->is_number() ? found->get<double>() : 0;
}

auto Shown(const Json& line, const char* name) -> std::string {
  const auto found = line.find(name);
  if (found == line.end()) return "?";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

auto Fields(const Json& line) -> std::string {
  static const std::set<std::string> kLeading = {"time_ms", "router", "event"};
  std::string text;
  for (const auto& [name, value] : line.items()) {
    if (kLeading.count(name) != 0) continue;
    text += (text.empty() ? "" : " ") + name + "=" + Shown(line, name.c_str());
  }
  return text;
}

auto ExplainNoRoom(const Json& line) -> std::string {
  if (Number(line, "batch_share") >= 1) {
    return "the batch of the best target, " + Shown(line, "target") +
           ", was full (batch_share " + Shown(line, "batch_share") + ")";
  }
  const auto has_memory = line.find("has_memory");
  if (has_memory != line.end() && has_memory->is_boolean() &&
      !has_memory->get<bool>()) {
    return "the best target, " + Shown(line, "target") +
           ", had no memory left for the prompt";
  }
  return "the best target, " + Shown(line, "target") +
         ", would have begun after " + Shown(line, "queue_wait_ms") +
         " ms of waiting, " + Shown(line, "longest_wait_ms") +
         " ms were allowed";
}

auto ExplainRefusal(const Json& line) -> std::string {
  const auto reason = Text(line, "outcome");
  if (reason == "no_room") return ExplainNoRoom(line);
  if (reason == "over_share") {
    return "the customer had used " + Shown(line, "share_used") +
           " of its even share, and " + ExplainNoRoom(line);
  }
  if (reason == "key_unconfirmed") {
    return "the router's keys were last confirmed " +
           Shown(line, "key_age_ms") +
           " ms before; neither the store nor a peer answered it";
  }
  static const std::map<std::string, std::string> kSentences = {
      {"no_configuration", "the router knew no configuration yet"},
      {"no_route", "no route of the configuration matches"},
      {"unknown_key", "the key belongs to no customer of the configuration"},
      {"no_target", "no target served the pool, or all were tried"},
      {"router_busy", "the router's processor was saturated"},
      {"leaving", "the router was stopping"},
      {"deadline", "the time was up before the request was sent"},
      {"not_executed", "the targets refused it before it ran"},
      {"target_failed", "a target failed it and it may have run there"},
      {"timeout", "a target had it and did not end in time"},
  };
  const auto sentence = kSentences.find(reason);
  return sentence == kSentences.end() ? "" : sentence->second;
}

auto ExplainSend(const Json& line) -> std::string {
  const auto target = Shown(line, "target");
  static const std::map<std::string, std::string> kSentences = {
      {"server_error", "answered with a failure of its own"},
      {"not_executed", "refused it before it ran"},
      {"wrong_target", "is gone; another target has its address"},
      {"not_reached", "took no connection"},
      {"broken", "broke off, or answered what is not its whole answer"},
      {"cancelled", "was told to stop, as the caller left or the time was up"},
  };
  const auto sentence = kSentences.find(Text(line, "outcome"));
  if (sentence == kSentences.end()) return "";
  return "target " + target + " " + sentence->second + " (status " +
         Shown(line, "target_status") + ", " + Shown(line, "events") +
         " events relayed)";
}

auto ExplainCut(const Json& line) -> std::string {
  const auto begin = "the answer was cut after " + Shown(line, "events") +
                     " events and " + Shown(line, "elapsed_ms") + " ms: ";
  if (Text(line, "outcome") == "timeout") {
    return begin + "the caller's " + Shown(line, "caller_wait_ms") +
           " ms or the route's timeout were over";
  }
  return begin + "target " + Shown(line, "target") +
         " failed it and no other could go on with it";
}

auto Explain(const Json& line) -> std::string {
  const auto event = Text(line, "event");
  if (event == "request_refused") return ExplainRefusal(line);
  if (event == "send_failed") return ExplainSend(line);
  if (event == "answer_cut") return ExplainCut(line);
  if (event == "caller_left" && Number(line, "sends") == 0) {
    return "the caller had left before the request was sent";
  }
  if (event == "caller_left") {
    return "the caller left after " + Shown(line, "elapsed_ms") + " of " +
           Shown(line, "caller_wait_ms") + " ms, with " +
           Shown(line, "events") + " events; target " + Shown(line, "target") +
           " was still at work";
  }
  if (event == "failure_relayed") {
    return "the caller got the failure that target " + Shown(line, "target") +
           " answered, after " + Shown(line, "sends") + " sends";
  }
  if (event == "request_done") {
    return "the answer was complete after " + Shown(line, "elapsed_ms") +
           " ms, its first part after " + Shown(line, "first_byte_ms") + " ms";
  }
  return "";
}

auto IsStateEvent(const std::string& event) -> bool {
  static const std::set<std::string> kEvents = {"started",
                                                "stopping",
                                                "store_lost",
                                                "store_regained",
                                                "target_left",
                                                "target_joined",
                                                "target_restarted",
                                                "process_stood_still",
                                                "reload",
                                                "configuration_in_force",
                                                "configuration_rejected"};
  return kEvents.count(event) != 0;
}

auto ByTime(const StoryLine& a, const StoryLine& b) -> bool {
  return a.time_ms < b.time_ms;
}

}  // namespace

auto StoryReader::Read(std::istream& in) -> void {
  std::string text;
  while (std::getline(in, text)) ReadLine(text);
}

auto StoryReader::ReadLine(const std::string& text) -> void {
  const auto begin = text.find('{');
  if (begin == std::string::npos) {
    ++unreadable_;
    return;
  }
  const auto json =
      Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                  nullptr, false);
  if (!json.is_object() || Text(json, "event").empty()) {
    ++unreadable_;
    return;
  }
  const auto is_own = Text(json, "request") == request_;
  const auto event = Text(json, "event");
  if (!is_own && !IsStateEvent(event)) return;
  Line line;
  line.shown = {static_cast<std::int64_t>(Number(json, "time_ms")),
                Text(json, "router"), event, Fields(json)};
  line.outcome = Text(json, "outcome");
  line.target = Text(json, "target");
  line.cause = Explain(json);
  (is_own ? own_ : state_).push_back(std::move(line));
}

auto StoryReader::Tell() const -> RequestStory {
  RequestStory story;
  story.unreadable_lines = unreadable_;
  for (const auto& line : state_) {
    if (line.shown.event == "started") story.starts.push_back(line.shown);
  }
  if (own_.empty()) return story;
  auto own = own_;
  std::stable_sort(own.begin(), own.end(), [](const Line& a, const Line& b) {
    return ByTime(a.shown, b.shown);
  });
  std::set<std::string> routers;
  std::set<std::string> targets;
  for (const auto& line : own) {
    story.lines.push_back(line.shown);
    routers.insert(line.shown.router);
    if (!line.target.empty()) targets.insert(line.target);
    if (!line.cause.empty()) story.causes.push_back(line.cause);
  }
  const auto first = own.front().shown.time_ms;
  const auto last = own.back().shown.time_ms;
  for (const auto& line : state_) {
    const auto is_near = line.shown.time_ms >= first - kBackgroundMs &&
                         line.shown.time_ms <= last;
    const auto is_related = line.target.empty()
                                ? routers.count(line.shown.router) != 0
                                : targets.count(line.target) != 0;
    if (is_near && is_related) story.background.push_back(line.shown);
  }
  std::stable_sort(story.background.begin(), story.background.end(), ByTime);
  return story;
}

}  // namespace papayaplank
