// Processor time of a router's decisions in a large fleet: placing a request,
// decoding and applying a message of a peer, and making this router's own.
#include <benchmark/benchmark.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

constexpr int kTargets = 117;
constexpr int kPeers = 194;
constexpr int kDataCenters = 5;
constexpr int kCustomers = 60;
// Targets at which one router has requests in progress.
constexpr int kBusyTargets = 5;
const Time kStart(seconds(1000));

auto MakeTable() -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = 1;
  Route route;
  route.name = "chat";
  route.host = "shop.example";
  route.prefix = "/chat/";
  route.kind = RequestKind::kStream;
  route.timeout = seconds(10);
  route.objective = milliseconds(400);
  route.pools = {{PoolId("engines"), 1}};
  document.routes = {route};
  Service engines;
  engines.id = PoolId("engines");
  engines.max_connections = 1300;
  engines.engine = EngineLimits{12, 400000};
  document.services = {engines};
  document.fleet_tokens_per_second = 3e6;
  return std::make_shared<const RoutingTable>(document);
}

auto MakeTargets() -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (int i = 0; i < kTargets; ++i) {
    TargetRow row;
    row.id = TargetId("i-d43d8290" + std::to_string(i));
    row.address = "127.0.0.1:" + std::to_string(9000 + i);
    row.pool = PoolId("engines");
    row.data_center = DataCenterId("dc" + std::to_string(i % kDataCenters));
    row.slots = 12;
    row.started_unix_ms = 1;
    rows.push_back(row);
  }
  return rows;
}

auto PeerReportOf(int peer, std::uint64_t sequence) -> PeerReport {
  PeerReport report;
  report.started_unix_ms = 1764800000000;
  report.sequence = sequence;
  report.peer_address = "10.1.0." + std::to_string(peer) + ":7400";
  report.caller_address = "10.1.0." + std::to_string(peer) + ":8783";
  report.data_center = DataCenterId("dc" + std::to_string(peer % kDataCenters));
  report.is_ready = true;
  report.config_version = 1;
  const auto targets = MakeTargets();
  for (int i = 0; i < kBusyTargets; ++i) {
    const auto& target = targets[(peer * 7 + i * 13) % targets.size()];
    report.loads.emplace_back(TargetHash(target.id), LoadShare{1200, 1, 4000});
  }
  return report;
}

auto WithRates(PeerReport report) -> PeerReport {
  report.rates.emplace();
  for (int i = 0; i < kCustomers; ++i) {
    (*report.rates)[CustomerId("jebo" + std::to_string(i))] =
        CustomerRate{900, 700};
  }
  return report;
}

// A router in the middle of a fleet whose peers have all reported.
struct Fleet {
  explicit Fleet(double cores = 1) : core(MakeOptions(cores)) {
    core.SetTable(MakeTable());
    core.SetTargets(MakeTargets(), 1, kStart);
    core.ConfirmConfiguration(kStart);
    for (int peer = 1; peer <= kPeers; ++peer) {
      core.HandleReport(WithRates(PeerReportOf(peer, 1)), kStart);
    }
  }
  static auto MakeOptions(double cores) -> GatewayOptions {
    GatewayOptions options;
    options.router = RouterId("10.1.0.0:7400#1");
    options.started_unix_ms = 1;
    options.peer_address = "10.1.0.0:7400";
    options.caller_address = "10.1.0.0:8783";
    options.data_center = DataCenterId("dc0");
    options.cores = cores;
    return options;
  }

  GatewayCore core;
};

auto PlaceRequest(benchmark::State& state) -> void {
  Fleet fleet;
  std::uint64_t part = 1;
  for (auto _ : state) {
    RequestFacts facts;
    facts.host = "shop.example";
    facts.path = "/chat/";
    facts.prompt.prompt_tokens = 2000;
    facts.prompt.expected_output_tokens = 100;
    facts.prompt.parts = {{1, 300}, {part % 50, 500}, {1000 + part, 1200}};
    ++part;
    facts.caller_wait = seconds(10);
    auto accepted = fleet.core.Accept(facts, kStart);
    auto& request = std::get<GatewayRequest>(accepted);
    auto placed = fleet.core.Place(request, kStart);
    if (const auto* placement = std::get_if<Placement>(&placed)) {
      fleet.core.RecordFirstToken(*placement, kStart);
      fleet.core.RecordAttemptEnd(request, *placement,
                                  AttemptOutcome::kCancelled, kStart);
    }
  }
}
BENCHMARK(PlaceRequest);

auto ReceiveReport(benchmark::State& state) -> void {
  Fleet fleet;
  std::uint64_t sequence = 1;
  std::size_t bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const auto peer = static_cast<int>(sequence % kPeers) + 1;
    auto report = PeerReportOf(peer, ++sequence);
    if (state.range(0) != 0) report = WithRates(std::move(report));
    const auto encoded = EncodePeerMessage(report);
    bytes += encoded.size();
    state.ResumeTiming();
    const auto message = DecodePeerMessage(encoded);
    fleet.core.HandleReport(std::get<PeerReport>(*message), kStart);
  }
  state.counters["bytes"] = benchmark::Counter(
      static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}
BENCHMARK(ReceiveReport)->ArgName("rates")->Arg(0)->Arg(1);

// All messages of ten ticks; a hub makes summaries at every second one.
auto MakeMessages(benchmark::State& state) -> void {
  Fleet fleet(state.range(0) != 0 ? 4.0 : 0.1);
  constexpr int kTicks = 10;
  for (auto _ : state) {
    for (int i = 0; i < kTicks; ++i) {
      for (const auto& [message, to] : fleet.core.MakePeerMessages(kStart)) {
        auto encoded = EncodePeerMessage(message);
        benchmark::DoNotOptimize(encoded);
      }
    }
  }
}
BENCHMARK(MakeMessages)->ArgName("hub")->Arg(0)->Arg(1);

}  // namespace
}  // namespace papayaplank

BENCHMARK_MAIN();
