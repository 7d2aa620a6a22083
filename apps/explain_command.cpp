// Reading of the files and printing of the story.
#include "apps/explain_command.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/ctl_commands.h"
#include "apps/request_story.h"

namespace papayaplank {
namespace {

auto ToJson(const std::vector<StoryLine>& lines) -> nlohmann::ordered_json {
  auto all = nlohmann::ordered_json::array();
  for (const auto& line : lines) {
    all.push_back({{"time_ms", line.time_ms},
                   {"router", line.router},
                   {"event", line.event},
                   {"fields", line.fields}});
  }
  return all;
}

auto PrintLines(const std::vector<StoryLine>& lines) -> void {
  for (const auto& line : lines) {
    std::cout << line.time_ms << "  " << line.router << "  " << line.event
              << "  " << line.fields << '\n';
  }
}

auto PrintText(const std::string& request, const RequestStory& story) -> void {
  if (!story.background.empty()) {
    std::cout << "Changes before it at its routers and targets:\n";
    PrintLines(story.background);
    std::cout << '\n';
  }
  std::cout << "Request " << request << ":\n";
  PrintLines(story.lines);
  std::cout << "\nIn short:\n";
  for (const auto& cause : story.causes) std::cout << "- " << cause << '\n';
}

auto ReportUnknown(const std::string& request, const RequestStory& story)
    -> int {
  std::cerr << "no line names the request '" << request << "' ("
            << story.unreadable_lines
            << " lines were no log lines); give the logs of all routers, and "
               "look at lines_dropped in them\n";
  if (!story.starts.empty()) {
    std::cerr << "These routers started; what they had before left no line:\n";
    for (const auto& line : story.starts) {
      std::cerr << line.time_ms << "  " << line.router << '\n';
    }
  }
  return kExitNotFound;
}

}  // namespace

auto ExplainRequest(const std::string& request,
                    const std::vector<std::string>& files, bool is_json)
    -> int {
  StoryReader reader(request);
  for (const auto& file : files) {
    if (file == "-") {
      reader.Read(std::cin);
      continue;
    }
    std::ifstream in(file);
    if (!in) {
      std::cerr << "cannot read the log file '" << file
                << "'; give the routers' logs, or - for standard input\n";
      return kExitInvalidInput;
    }
    reader.Read(in);
  }
  if (files.empty()) reader.Read(std::cin);
  const auto story = reader.Tell();
  if (story.lines.empty()) return ReportUnknown(request, story);
  if (is_json) {
    std::cout << nlohmann::ordered_json(
                     {{"request", request},
                      {"background", ToJson(story.background)},
                      {"lines", ToJson(story.lines)},
                      {"causes", story.causes}})
                     .dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << '\n';
    return kExitOk;
  }
  PrintText(request, story);
  return kExitOk;
}

}  // namespace papayaplank
