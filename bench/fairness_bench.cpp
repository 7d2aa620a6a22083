// Prints fairness gap (tokens per weight), utilisation ("busy"), interactive
// wait (99th percentile in seconds), control traffic per router and peak slot
// usage ("overfill") of the sharing modes fifo, local and fleet for the same
// load, in virtual time and with fixed seeds. The argument selects the
// scenarios whose names contain it.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/fleet_driver.h"

namespace papayaplank {
namespace {

// A fleet and its load.
struct Scenario {
  std::string name;
  FleetPlan plan;
  std::vector<CallerPlan> callers;
};

auto Scenarios() -> std::vector<Scenario> {
  std::vector<Scenario> scenarios;
  scenarios.push_back({"uneven spread", {}, UnevenCallers()});
  auto single_router = UnevenCallers();
  for (auto& caller : single_router) caller.routers = {0};
  scenarios.push_back({"all on one router", {}, single_router});
  // Caller 5 has weight 1.
  auto flood = UnevenCallers();
  flood[5].concurrency = 2000;
  flood[5].routers = {0, 1, 2, 3, 4, 5, 6, 7};
  scenarios.push_back({"one floods from all routers", {}, flood});
  auto low_hints = UnevenCallers();
  for (auto& caller : low_hints) caller.cost_hint = 60;
  scenarios.push_back({"hints 5x too low", {}, low_hints});
  auto high_hints = UnevenCallers();
  for (auto& caller : high_hints) caller.cost_hint = 1500;
  scenarios.push_back({"hints 5x too high", {}, high_hints});
  auto wide_costs = UnevenCallers();
  for (auto& caller : wide_costs) {
    caller.cost_sigma = 2;
    caller.max_cost = 10000;
  }
  scenarios.push_back({"costs 10 to 10,000", {}, wide_costs});
  // Fleets of other sizes, named after two users; a runner is a target.
  FleetPlan spoina;
  spoina.targets = 9;
  scenarios.push_back({"Zlota Spoina, 9 runners", spoina, UnevenCallers()});
  FleetPlan cascade;
  cascade.targets = 18;
  scenarios.push_back(
      {"Cascade Foamworks, 18 runners", cascade, UnevenCallers()});
  auto interactive = UnevenCallers();
  interactive.push_back(InteractiveCaller());
  scenarios.push_back({"interactive beside a flood", {}, interactive});
  return scenarios;
}

// The value below which `share` (0 to 1) of the values lie; 0 if there are
// none.
auto Percentile(std::vector<double> values, double share) -> double {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

auto RunScenario(Scenario scenario, SharingMode mode, const char* name)
    -> void {
  scenario.plan.mode = mode;
  FleetDriver driver(scenario.plan, scenario.callers);
  driver.Run(seconds(60));
  driver.ResetMeasurements();
  driver.Run(seconds(600));
  // The interactive caller, if there is one.
  const auto last = static_cast<int>(scenario.callers.size()) - 1;
  const auto& waits = driver.Result(last).waits;
  std::printf("%-30s %-6s %9.0f %8.3f %9.3f %8.1f %9.0f %9.2f\n",
              scenario.name.c_str(), name, driver.FairnessGap(),
              driver.Utilisation(), Percentile(waits, 0.99),
              driver.MessagesPerRouterSecond(), driver.BytesPerRouterSecond(),
              driver.PeakSlotUsage());
  std::fflush(stdout);
}

}  // namespace
}  // namespace papayaplank

auto main(int argc, char** argv) -> int {
  using papayaplank::SharingMode;
  const std::string only = argc > 1 ? argv[1] : "";
  std::printf("%-30s %-6s %9s %8s %9s %8s %9s %9s\n", "scenario", "mode", "gap",
              "busy", "wait p99", "msgs/s", "bytes/s", "overfill");
  for (const auto& scenario : papayaplank::Scenarios()) {
    if (scenario.name.find(only) == std::string::npos) continue;
    papayaplank::RunScenario(scenario, SharingMode::kFifo, "fifo");
    papayaplank::RunScenario(scenario, SharingMode::kLocal, "local");
    papayaplank::RunScenario(scenario, SharingMode::kFleet, "fleet");
  }
  return 0;
}
