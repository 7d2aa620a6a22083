// Tests the exchange among the routers of a large fleet in virtual time: real
// cores, messages that are encoded, delayed and lost, and routers that die.
#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
constexpr Duration kTick = milliseconds(100);
constexpr int kDataCenters = 5;
constexpr int kTargets = 20;

auto MakeTable(std::uint64_t version = 1)
    -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = version;
  Route route;
  route.name = "chat";
  route.host = "shop.example";
  route.prefix = "/chat/";
  route.kind = RequestKind::kStream;
  route.timeout = seconds(30);
  route.objective = milliseconds(400);
  route.pools = {{PoolId("engines"), 1}};
  document.routes = {route};
  Service engines;
  engines.id = PoolId("engines");
  engines.engine = EngineLimits{12, 400000};
  document.services = {engines};
  document.fleet_tokens_per_second = 3e6;
  return std::make_shared<const RoutingTable>(document);
}

auto MakeTarget(int index) -> TargetRow {
  TargetRow row;
  row.id = TargetId("t" + std::to_string(index));
  row.address = "127.0.0.1:" + std::to_string(9000 + index);
  row.pool = PoolId("engines");
  row.data_center = DataCenterId("dc0");
  row.slots = 12;
  row.started_unix_ms = 1;
  return row;
}

auto MakeTargets() -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (int i = 0; i < kTargets; ++i) rows.push_back(MakeTarget(i));
  return rows;
}

// A fleet of router cores that exchange messages with a delay of one tick.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(int routers) : random_(7) {
    for (int i = 0; i < routers; ++i) {
      addresses_.push_back("10.0.0." + std::to_string(i) + ":1");
      index_of_[addresses_.back()] = i;
    }
    for (int i = 0; i < routers; ++i) StartRouter(i);
  }

  auto StartRouter(int index) -> void {
    GatewayOptions options;
    options.peer_address = addresses_[index];
    options.caller_address = "c" + addresses_[index];
    options.data_center = DataCenter(index);
    options.started_unix_ms = ++starts_;
    options.router = RouterId(options.peer_address + "#" +
                              std::to_string(options.started_unix_ms));
    // One in thirteen instances is large.
    options.cores = index % 13 < kDataCenters ? 0.5 : 0.12;
    options.seed = static_cast<std::uint64_t>(index) + 1;
    auto core = std::make_unique<GatewayCore>(options);
    core->SetTable(MakeTable());
    core->ConfirmConfiguration(now_);
    core->SetTargets(MakeTargets(), 1, now_);
    std::vector<PeerSeed> seeds;
    for (std::size_t i = 0; i < addresses_.size(); ++i) {
      const auto peer = static_cast<int>(i);
      // Each finds the rows of the routers that started before it.
      if (peer < index || cores_.count(peer) != 0) {
        seeds.push_back({addresses_[i], DataCenter(peer),
                         peer % 13 < kDataCenters ? 0.5 : 0.12});
      }
    }
    core->AddPeers(seeds, now_);
    cores_[index] = std::move(core);
  }

  auto Kill(int index) -> void { cores_.erase(index); }
  // Messages between the sides of a cut are lost; -1 ends the cut.
  auto Cut(int data_center) -> void { cut_ = data_center; }
  auto SetLoss(double share) -> void { loss_ = share; }

  auto Run(Duration time) -> void {
    const auto end = now_ + time;
    while (now_ < end) RunTick();
  }

  auto core(int index) -> GatewayCore& { return *cores_.at(index); }
  auto cores() -> std::map<int, std::unique_ptr<GatewayCore>>& {
    return cores_;
  }
  auto now() const -> Time { return now_; }
  static auto DataCenter(int index) -> DataCenterId {
    return DataCenterId("dc" + std::to_string(index % kDataCenters));
  }
  auto Hubs() -> std::vector<int> {
    std::vector<int> hubs;
    for (const auto& [index, core] : cores_) {
      if (core->exchange_role() == ExchangeRole::kHub) hubs.push_back(index);
    }
    return hubs;
  }
  // Puts a stream of this router on the target, and leaves it there.
  auto PlaceStream(int index) -> TargetId {
    RequestFacts facts;
    facts.host = "shop.example";
    facts.path = "/chat/";
    facts.prompt.prompt_tokens = 2000;
    facts.prompt.expected_output_tokens = 100;
    facts.caller_wait = seconds(30);
    auto accepted = core(index).Accept(facts, now_);
    auto placed = core(index).Place(std::get<GatewayRequest>(accepted), now_);
    return std::get<Placement>(placed).target.id;
  }
  // Requests that the router believes to be at all targets.
  auto KnownRequests(int index) -> int {
    return core(index).PoolStates(now_).front().requests;
  }

  // Messages and bytes since the last call, by router.
  struct Traffic {
    std::map<int, int> sent;
    std::map<int, int> received;
    std::map<int, std::size_t> bytes_received;
    std::size_t bytes_between_data_centers = 0;
  };
  auto TakeTraffic() -> Traffic { return std::exchange(traffic_, {}); }

 private:
  struct InFlight {
    int to = 0;
    std::string bytes;
  };

  auto RunTick() -> void {
    now_ += kTick;
    const auto arriving = std::exchange(in_flight_, {});
    for (const auto& message : arriving) Deliver(message);
    for (auto& [index, core] : cores_) Send(index, *core);
  }

  auto Send(int from, GatewayCore& core) -> void {
    core.ConfirmConfiguration(now_);
    core.RecordStoreSuccess(now_);
    for (const auto& [message, recipients] : core.MakePeerMessages(now_)) {
      const auto bytes = EncodePeerMessage(message);
      for (const auto& address : recipients) {
        const auto to = index_of_.at(address);
        ++traffic_.sent[from];
        const auto is_far = DataCenter(from) != DataCenter(to);
        if (is_far) traffic_.bytes_between_data_centers += bytes.size();
        const auto is_cut = cut_ >= 0 && (from % kDataCenters == cut_) !=
                                             (to % kDataCenters == cut_);
        if (is_cut || random_.Uniform() < loss_) continue;
        in_flight_.push_back({to, bytes});
      }
    }
  }

  auto Deliver(const InFlight& in_flight) -> void {
    const auto receiver = cores_.find(in_flight.to);
    if (receiver == cores_.end()) return;
    ++traffic_.received[in_flight.to];
    traffic_.bytes_received[in_flight.to] += in_flight.bytes.size();
    const auto message = DecodePeerMessage(in_flight.bytes);
    ASSERT_TRUE(message.has_value());
    auto& core = *receiver->second;
    if (const auto* report = std::get_if<PeerReport>(&*message)) {
      core.HandleReport(*report, now_);
    } else if (const auto* summary = std::get_if<FleetSummary>(&*message)) {
      core.HandleSummary(*summary, now_);
    }
  }

  Random random_;
  Time now_ = kStart;
  std::int64_t starts_ = 0;
  std::vector<std::string> addresses_;
  std::map<std::string, int> index_of_;
  std::map<int, std::unique_ptr<GatewayCore>> cores_;
  std::vector<InFlight> in_flight_;
  Traffic traffic_;
  int cut_ = -1;
  double loss_ = 0;
};

constexpr int kRouters = 195;

TEST(FleetExchangeTest, RoutersThatStartTogetherKnowEachOther) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(core->live_peers(fleet.now()), kRouters - 1) << index;
    EXPECT_EQ(core->serving_peers(fleet.now()), kRouters - 1) << index;
  }
  const auto hubs = fleet.Hubs();
  EXPECT_EQ(hubs.size(), 2U * kDataCenters);
  for (const auto hub : hubs) EXPECT_LT(hub % 13, kDataCenters) << "is small";
}

// A hub whose data centre read the router list first knew few peers, took the
// fleet for a small one and never learnt of the others (cfs-plank-grown).
TEST(FleetExchangeTest, AHubOfAFewRoutersLearnsOfALargeFleetFromSummaries) {
  GatewayOptions options;
  options.peer_address = "10.0.0.1:1";
  options.data_center = DataCenterId("dc0");
  options.cores = 0.5;
  GatewayCore core(options);
  core.AddPeers({{"10.0.0.2:1", DataCenterId("dc0"), 0.12}}, kStart);
  FleetSummary summary;
  summary.scope = FleetSummary::Scope::kDataCenter;
  summary.sequence = 1;
  constexpr int kListed = 30;
  for (int i = 0; i < kListed; ++i) {
    RouterState state;
    state.peer_address = "10.1.0." + std::to_string(i) + ":1";
    state.data_center = DataCenterId("dc1");
    state.started_unix_ms = 1;
    summary.listed.push_back(state);
  }
  summary.sender = summary.listed.front();
  core.MakePeerMessages(kStart);
  ASSERT_EQ(core.exchange_role(), ExchangeRole::kMesh);
  core.HandleSummary(summary, kStart + kTick);
  core.MakePeerMessages(kStart + 2 * kTick);
  EXPECT_EQ(core.exchange_role(), ExchangeRole::kHub);
  // As a hub it takes the next list.
  ++summary.sequence;
  core.HandleSummary(summary, kStart + 3 * kTick);
  EXPECT_EQ(core.live_peers(kStart + 3 * kTick), kListed);
}

// Load pattern: hundreds of routers, most of them on small instances. What a
// router sends and receives must not grow with the fleet, but for the hubs.
TEST(FleetExchangeTest, AMembersMessagesDoNotGrowWithTheFleet) {
  std::map<int, double> most_received;
  for (const auto routers : {60, kRouters}) {
    SimulatedFleet fleet(routers);
    fleet.Run(seconds(4));
    fleet.TakeTraffic();
    fleet.Run(seconds(2));
    const auto traffic = fleet.TakeTraffic();
    const auto hubs = fleet.Hubs();
    for (const auto& [index, core] : fleet.cores()) {
      if (std::count(hubs.begin(), hubs.end(), index) != 0) continue;
      const auto received = traffic.received.at(index) / 2.0;
      EXPECT_LE(received, 15) << routers << " routers";
      EXPECT_LE(traffic.sent.at(index) / 2.0, 25) << routers << " routers";
      most_received[routers] = std::max(most_received[routers], received);
    }
    for (const auto hub : hubs) {
      // The reports of its data centre, and summaries of ten hubs.
      EXPECT_LE(traffic.received.at(hub) / 2.0,
                routers / kDataCenters * 10 * 1.1 + 60);
    }
  }
  EXPECT_LE(most_received[kRouters], most_received[60] + 3);
}

TEST(FleetExchangeTest, EveryRouterCountsEachRequestOnce) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  for (const auto index : {0, 1, 17, 100, 194}) fleet.PlaceStream(index);
  fleet.Run(milliseconds(600));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(fleet.KnownRequests(index), 5) << index;
  }
  // Its own new request counts at once, beside a sum that lacks it.
  fleet.PlaceStream(100);
  EXPECT_EQ(fleet.KnownRequests(100), 6);
  for (int i = 0; i < 6; ++i) {
    fleet.Run(kTick);
    EXPECT_EQ(fleet.KnownRequests(100), 6) << "tick " << i;
  }
}

TEST(FleetExchangeTest, ADeadRouterIsNoLongerOfferedToCallers) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  fleet.PlaceStream(102);
  fleet.Run(seconds(1));
  fleet.Kill(102);
  fleet.Run(milliseconds(2400));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(core->serving_peers(fleet.now()), kRouters - 2) << index;
    EXPECT_EQ(fleet.KnownRequests(index), 0) << index;
  }
}

// All hubs die at once: others take over, and no router that lives is forgotten
// for long.
TEST(FleetExchangeTest, NewHubsReplaceDeadOnes) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  const auto hubs = fleet.Hubs();
  for (const auto hub : hubs) fleet.Kill(hub);
  fleet.Run(seconds(8));
  const auto living = kRouters - static_cast<int>(hubs.size());
  EXPECT_EQ(fleet.Hubs().size(), hubs.size());
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(core->live_peers(fleet.now()), living - 1) << index;
  }
  fleet.PlaceStream(100);
  fleet.Run(milliseconds(600));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(fleet.KnownRequests(index), 1) << index;
  }
}

TEST(FleetExchangeTest, HalfOfTheFleetRestartsAtOnce) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  for (int i = 0; i < kRouters; i += 2) fleet.Kill(i);
  fleet.Run(milliseconds(500));
  for (int i = 0; i < kRouters; i += 2) fleet.StartRouter(i);
  fleet.Run(seconds(4));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(core->live_peers(fleet.now()), kRouters - 1) << index;
  }
}

TEST(FleetExchangeTest, ADataCentreThatWasCutOffReturns) {
  SimulatedFleet fleet(kRouters);
  fleet.Run(seconds(4));
  fleet.Cut(2);
  fleet.Run(seconds(10));
  EXPECT_EQ(fleet.core(2).live_peers(fleet.now()), kRouters / 5 - 1);
  EXPECT_EQ(fleet.core(0).live_peers(fleet.now()), kRouters * 4 / 5 - 1);
  fleet.Cut(-1);
  fleet.Run(seconds(4));
  for (const auto& [index, core] : fleet.cores()) {
    EXPECT_EQ(core->live_peers(fleet.now()), kRouters - 1) << index;
  }
}

// A target that drains must get no new request within the drain time, though
// only one router has read its row and a tenth of the datagrams is lost.
TEST(FleetExchangeTest, ATargetUpdateReachesAllRouters) {
  SimulatedFleet fleet(kRouters);
  fleet.SetLoss(0.1);
  fleet.Run(seconds(4));
  auto rows = MakeTargets();
  rows[3].is_draining = true;
  fleet.core(108).SetTargets(rows, 9, fleet.now());
  fleet.Run(milliseconds(1500));
  for (const auto& [index, core] : fleet.cores()) {
    const auto* target = core->directory().Find(rows[3].id);
    ASSERT_NE(target, nullptr);
    EXPECT_TRUE(target->is_draining) << index;
  }
}

TEST(FleetExchangeTest, LostDatagramsHideNoRouter) {
  SimulatedFleet fleet(kRouters);
  fleet.SetLoss(0.1);
  fleet.Run(seconds(6));
  int hidden = 0;
  for (int i = 0; i < 30; ++i) {
    fleet.Run(kTick);
    for (const auto& [index, core] : fleet.cores()) {
      hidden += kRouters - 1 - static_cast<int>(core->live_peers(fleet.now()));
    }
  }
  EXPECT_EQ(hidden, 0);
}

// A configuration changes: a member takes it from a router of its data centre,
// and reads the store itself only if none there has it after a while.
TEST(FleetExchangeTest, MembersTakeAConfigurationFromTheirDataCentre) {
  SimulatedFleet fleet(60);
  fleet.Run(seconds(4));
  const auto hubs = fleet.Hubs();
  auto member = 0;
  while (std::count(hubs.begin(), hubs.end(), member) != 0 ||
         fleet.core(member).is_watcher(fleet.now())) {
    ++member;
  }
  auto& core = fleet.core(member);
  EXPECT_FALSE(core.must_read_configuration(fleet.now()));
  // A router of another data centre has it first.
  fleet.core(member + 1).SetTable(MakeTable(2));
  fleet.Run(milliseconds(700));
  EXPECT_FALSE(core.must_read_configuration(fleet.now()));
  EXPECT_EQ(core.ChooseSnapshotSource(fleet.now()), "");
  EXPECT_TRUE(core.must_read_configuration(fleet.now() + milliseconds(900)))
      << "without a hub that has it, the store is read";
  for (const auto hub : hubs) fleet.core(hub).SetTable(MakeTable(2));
  fleet.Run(milliseconds(500));
  EXPECT_TRUE(core.must_read_configuration(fleet.now()));
  EXPECT_NE(core.ChooseSnapshotSource(fleet.now()), "");
}

}  // namespace
}  // namespace papayaplank
