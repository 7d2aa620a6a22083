// Prints the figures of docs/CAPACITY.md: control traffic and processor time of
// a router's decisions by number of routers, and memory and time of the
// configuration by number of customers.
#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <string>

#include "bench/fleet_driver.h"

namespace papayaplank {
namespace {

auto CpuSeconds() -> double {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Prints one line: traffic and load of a fleet with this number of routers.
auto MeasureRouters(int routers) -> void {
  FleetPlan plan;
  plan.routers = routers;
  plan.targets = routers * 3 / 2;
  plan.slots = 16;
  plan.token_time = milliseconds(77);
  std::vector<CallerPlan> callers;
  for (int i = 0; i < routers * 2; ++i) {
    CallerPlan caller;
    caller.name = "customer-" + std::to_string(i);
    caller.routers = {i % routers};
    caller.median_cost = 200;
    caller.concurrency = 32;
    callers.push_back(caller);
  }
  FleetDriver driver(plan, callers);
  driver.Run(seconds(10));
  driver.ResetMeasurements();
  const auto before = CpuSeconds();
  constexpr int kSeconds = 20;
  driver.Run(seconds(kSeconds));
  // Includes the work of the driver, so this is an upper bound.
  const auto cpu_share = (CpuSeconds() - before) / kSeconds / routers;
  std::printf("%8d %10.1f %10.0f %12.2f %9.3f\n", routers,
              driver.MessagesPerRouterSecond(), driver.BytesPerRouterSecond(),
              cpu_share * 100, driver.Utilisation());
  std::fflush(stdout);
}

// Prints one line: heap and time of a configuration with this number of
// customers, and the mean time of a change of one customer.
auto MeasureCustomers(int customers) -> void {
  std::string text = R"({"format":1,"templates":[{"name":"shop","parameters":[
{"name":"weight","type":"number","minimum":1,"maximum":9,"default":1}],
"weight":{"parameter":"weight"},"classes":[{"name":"report"},
{"name":"advice"},{"name":"capture","pool":"desk"}]}],"customers":[)";
  for (int i = 0; i < customers; ++i) {
    const auto name = "customer-" + std::to_string(i);
    text += (i == 0 ? "" : ",") + std::string("{\"name\":\"") + name +
            "\",\"template\":\"shop\",\"parameters\":{\"weight\":2}," +
            "\"key_hashes\":[\"" + Sha256Hex(name) + "\"]}";
  }
  text += "]}";
  const auto heap_before = mallinfo2().uordblks;
  const auto started_at = CpuSeconds();
  const auto configuration =
      std::get<Configuration>(Configuration().Apply(text, ConfigVersion(1)));
  const auto loaded_at = CpuSeconds();
  const auto one_change = R"({"format":1,"customers":[{"name":"customer-0",
"template":"shop","parameters":{"weight":3},"key_hashes":[]}]})";
  constexpr int kChanges = 20;
  for (int i = 0; i < kChanges; ++i)
    configuration.Apply(one_change, ConfigVersion(2));
  const auto changed_at = CpuSeconds();
  std::printf("%8d %12.1f %14.1f %12.1f\n", customers,
              static_cast<double>(mallinfo2().uordblks - heap_before) / 1e6,
              (loaded_at - started_at) * 1e3,
              (changed_at - loaded_at) / kChanges * 1e3);
}

}  // namespace
}  // namespace papayaplank

auto main() -> int {
  std::printf("%8s %10s %10s %12s %9s\n", "routers", "msgs/s", "bytes/s",
              "% of a core", "busy");
  for (const auto routers : {4, 8, 16, 32, 64}) {
    papayaplank::MeasureRouters(routers);
  }
  std::printf("\n%8s %12s %14s %12s\n", "customers", "heap MB", "whole ms",
              "change ms");
  for (const auto customers : {16, 1000, 5000, 23000}) {
    papayaplank::MeasureCustomers(customers);
  }
  return 0;
}
