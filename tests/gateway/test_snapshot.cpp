// Tests that a router whose store calls fail uses the snapshot of a peer.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));

auto MakeOptions(const std::string& address) -> GatewayOptions {
  GatewayOptions options;
  options.router = RouterId(address + "#1");
  options.peer_address = address;
  options.caller_address = "c" + address;
  return options;
}

auto MakeTable(std::uint64_t version) -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = version;
  document.source = "version " + std::to_string(version);
  return std::make_shared<const RoutingTable>(document);
}

auto MakeTarget(const std::string& id) -> TargetRow {
  TargetRow row;
  row.id = TargetId(id);
  row.address = "127.0.0.1:9000";
  row.pool = PoolId("engines");
  row.started_unix_ms = 1;
  return row;
}

class SnapshotTest : public testing::Test {
 protected:
  void SetUp() override {
    peer_.SetTable(MakeTable(5));
    peer_.SetTargets({MakeTarget("t1"), MakeTarget("t2")}, 40, kStart);
    // The target updates of the report are left out, as if a datagram was lost.
    auto message = peer_.MakePeerMessages(kStart).front().message;
    auto& report = std::get<PeerReport>(message);
    report.target_updates.clear();
    core_.HandleReport(report, kStart);
  }

  GatewayCore core_{MakeOptions("a")};
  GatewayCore peer_{MakeOptions("b")};
};

TEST_F(SnapshotTest, OnlyARouterWithoutTheStoreUsesAPeer) {
  EXPECT_EQ(core_.ChooseSnapshotSource(kStart), "");
  core_.RecordStoreFailure();
  EXPECT_EQ(core_.ChooseSnapshotSource(kStart), "b");
  core_.SetTable(MakeTable(5));
  EXPECT_EQ(core_.ChooseSnapshotSource(kStart), "")
      << "the peer has nothing newer";
}

TEST_F(SnapshotTest, ContainsTheDocumentAndTheTargets) {
  const auto snapshot = peer_.MakeSnapshot();
  ASSERT_TRUE(snapshot.has_value());
  const auto message = DecodePeerMessage(EncodePeerMessage(*snapshot));
  ASSERT_TRUE(message.has_value());
  const auto& copy = std::get<PeerSnapshot>(*message);
  EXPECT_EQ(copy.configuration, "version 5");
  const auto change =
      core_.ApplyTargetUpdates(copy.targets, copy.store_era, kStart);
  EXPECT_EQ(change.joined.size(), 2U);
  EXPECT_EQ(core_.directory().Serving(PoolId("engines")).size(), 2U);
}

TEST_F(SnapshotTest, AnOlderSnapshotRestoresNoTarget) {
  const auto snapshot = peer_.MakeSnapshot();
  // Later, the router itself reads that t2 is gone, from a store that has been
  // available long enough for all rows to have returned.
  auto now = kStart;
  for (; now < kStart + seconds(4); now += seconds(1)) {
    core_.RecordStoreSuccess(now);
  }
  core_.RecordStoreSuccess(now);
  core_.SetTargets({MakeTarget("t1"), MakeTarget("t2")}, 45, now);
  core_.SetTargets({MakeTarget("t1")}, 50, now);
  core_.ApplyTargetUpdates(snapshot->targets, snapshot->store_era, now);
  EXPECT_EQ(core_.directory().Find(TargetId("t2")), nullptr);
}

TEST_F(SnapshotTest, NoneWithoutAConfiguration) {
  EXPECT_FALSE(core_.MakeSnapshot().has_value());
}

}  // namespace
}  // namespace papayaplank
