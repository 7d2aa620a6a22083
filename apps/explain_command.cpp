// Reads the log files and prints the request's timeline.
#include "apps/explain_command.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/ctl_commands.h"
#include "apps/request_timeline.h"

namespace papayaplank {
namespace {

auto ToJson(const std::vector<LogLine>& lines) -> nlohmann::ordered_json {
  auto all = nlohmann::ordered_json::array();
  for (const auto& line : lines) {
    all.push_back({{"time_ms", line.time_ms},
                   {"router", line.router},
                   {"event", line.event},
                   {"fields", line.fields}});
  }
  return all;
}

auto PrintLines(const std::vector<LogLine>& lines) -> void {
  for (const auto& line : lines) {
    std::cout << line.time_ms << "  " << line.router << "  " << line.event
              << "  " << line.fields << '\n';
  }
}

auto PrintText(const std::string& request, const RequestTimeline& timeline)
    -> void {
  if (!timeline.background.empty()) {
    std::cout << "Earlier changes at the request's routers and targets:\n";
    PrintLines(timeline.background);
    std::cout << '\n';
  }
  std::cout << "Request " << request << ":\n";
  PrintLines(timeline.lines);
  std::cout << "\nSummary:\n";
  for (const auto& cause : timeline.causes) std::cout << "- " << cause << '\n';
}

auto ReportUnknownRequest(const std::string& request,
                          const RequestTimeline& timeline) -> int {
  std::cerr << "no log line names the request '" << request << "' ("
            << timeline.unreadable_lines
            << " unreadable lines skipped); give the logs of all routers and "
               "check lines_dropped in them\n";
  if (!timeline.starts.empty()) {
    std::cerr
        << "These routers started; lines about their earlier requests may "
           "be missing:\n";
    for (const auto& line : timeline.starts) {
      std::cerr << line.time_ms << "  " << line.router << '\n';
    }
  }
  return kExitNotFound;
}

}  // namespace

auto ExplainRequest(const std::string& request,
                    const std::vector<std::string>& files, bool is_json)
    -> int {
  RequestLogReader reader(request);
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
  const auto timeline = reader.BuildTimeline();
  if (timeline.lines.empty()) return ReportUnknownRequest(request, timeline);
  if (is_json) {
    std::cout << nlohmann::ordered_json(
                     {{"request", request},
                      {"background", ToJson(timeline.background)},
                      {"lines", ToJson(timeline.lines)},
                      {"causes", timeline.causes}})
                     .dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << '\n';
    return kExitOk;
  }
  PrintText(request, timeline);
  return kExitOk;
}

}  // namespace papayaplank
