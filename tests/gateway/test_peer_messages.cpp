// Tests the codec of peer messages and the table of peers.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));

auto MakeTargets(int count) -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (int i = 0; i < count; ++i) {
    TargetRow row;
    row.id = TargetId("t" + std::to_string(i));
    row.address = "127.0.0.1:" + std::to_string(9000 + i);
    row.pool = PoolId("engines");
    row.data_center = DataCenterId("west");
    row.slots = 8;
    row.started_unix_ms = 1;
    rows.push_back(row);
  }
  return rows;
}

TEST(PeerMessagesTest, ADecodedReportEqualsTheEncodedOne) {
  PeerReport report;
  report.started_unix_ms = 1772707117173;
  report.sequence = 12;
  report.peer_address = "10.0.0.1:7400";
  report.caller_address = "10.0.0.1:8000";
  report.data_center = DataCenterId("west");
  report.is_ready = true;
  report.is_store_continuous = true;
  report.config_version = 9;
  report.loads = {{4000000000U, LoadShare{1200, 3, 9000}}};
  report.rates = {{CustomerId("a"), CustomerRate{10, 5}}};
  report.target_updates = {TargetUpdate{77, true, MakeTargets(1)[0]}};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(report));
  ASSERT_TRUE(decoded && std::holds_alternative<PeerReport>(*decoded));
  const auto& copy = std::get<PeerReport>(*decoded);
  EXPECT_EQ(copy.router(), report.router());
  EXPECT_EQ(copy.loads[0].first, 4000000000U);
  EXPECT_EQ(copy.loads[0].second.requests, 3);
  EXPECT_EQ(copy.rates->at(CustomerId("a")).demand, 10);
  EXPECT_EQ(copy.target_updates[0].version, 77U);
  EXPECT_TRUE(copy.target_updates[0].is_gone);
  EXPECT_TRUE(copy.is_store_continuous);
}

TEST(PeerMessagesTest, AHugeLoadLosesNoReport) {
  PeerReport report;
  report.peer_address = "10.0.0.1:7400";
  report.sequence = 12;
  report.loads = {{1, LoadShare{1e18, 3, 1e300}}, {2, LoadShare{5, 1, 7}}};
  report.rates = {{CustomerId("a"), CustomerRate{1e300, 1e18}}};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(report));
  ASSERT_TRUE(decoded && std::holds_alternative<PeerReport>(*decoded));
  const auto& copy = std::get<PeerReport>(*decoded);
  EXPECT_GT(copy.loads[0].second.queued_tokens, 1e14);
  EXPECT_EQ(copy.loads[1].second.memory_tokens, 7);
}

TEST(PeerMessagesTest, DecodedLimitsAndPermitsEqualTheEncodedOnes) {
  TargetLimitRecord record;
  record.target = 4000000000U;
  record.id = 17;
  record.process = ProcessStart(1772707117173);
  record.limit = RequestRate{3.25};
  record.age = milliseconds(1200);
  auto ended = record;
  ended.limit.reset();
  const auto report = DecodePeerMessage(EncodePeerMessage(StatementReport{
      {record, ended},
      {{7, ProcessStart(8)}},
      {{9, ProcessStart(3), seconds(4)}},
      {{11, ProcessStart(5), ColdCause::kReturned, seconds(1), seconds(2)}},
      {{DataCenterId("west"), 12, true}}}));
  ASSERT_TRUE(report && std::holds_alternative<StatementReport>(*report));
  const auto& records = std::get<StatementReport>(*report).limits;
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0].target, record.target);
  EXPECT_EQ(records[0].id, record.id);
  EXPECT_EQ(records[0].process, record.process);
  EXPECT_EQ(records[0].limit, record.limit);
  EXPECT_EQ(records[0].age, record.age);
  EXPECT_FALSE(records[1].limit);
  const auto& departures = std::get<StatementReport>(*report).departures;
  ASSERT_EQ(departures.size(), 1U);
  EXPECT_EQ(departures[0].target, 7U);
  EXPECT_EQ(departures[0].process, ProcessStart(8));
  const auto& pauses = std::get<StatementReport>(*report).pauses;
  ASSERT_EQ(pauses.size(), 1U);
  EXPECT_EQ(pauses[0].target, 9U);
  EXPECT_EQ(pauses[0].process, ProcessStart(3));
  EXPECT_EQ(pauses[0].left, seconds(4));
  const auto& cold = std::get<StatementReport>(*report).cold;
  ASSERT_EQ(cold.size(), 1U);
  EXPECT_EQ(cold[0].target, 11U);
  EXPECT_EQ(cold[0].process, ProcessStart(5));
  EXPECT_EQ(cold[0].cause, ColdCause::kReturned);
  EXPECT_EQ(cold[0].age, seconds(1));
  EXPECT_EQ(cold[0].left, seconds(2));
  const auto& evacuations = std::get<StatementReport>(*report).evacuations;
  ASSERT_EQ(evacuations.size(), 1U);
  EXPECT_EQ(evacuations[0].data_center, DataCenterId("west"));
  EXPECT_EQ(evacuations[0].version, 12U);
  EXPECT_TRUE(evacuations[0].is_evacuated);
  const auto request = DecodePeerMessage(EncodePeerMessage(PermitRequest{
      "10.0.0.1:7400", PermitNonce(9), PermitClass::kOverShare, record}));
  ASSERT_TRUE(request && std::holds_alternative<PermitRequest>(*request));
  EXPECT_EQ(std::get<PermitRequest>(*request).sender, "10.0.0.1:7400");
  EXPECT_EQ(std::get<PermitRequest>(*request).nonce, PermitNonce(9));
  EXPECT_EQ(std::get<PermitRequest>(*request).permit_class,
            PermitClass::kOverShare);
  EXPECT_EQ(std::get<PermitRequest>(*request).record.id, record.id);
  const auto grant = DecodePeerMessage(EncodePeerMessage(
      PermitGrant{PermitNonce(9), true, milliseconds(7), record}));
  ASSERT_TRUE(grant && std::holds_alternative<PermitGrant>(*grant));
  EXPECT_TRUE(std::get<PermitGrant>(*grant).is_granted);
  EXPECT_EQ(std::get<PermitGrant>(*grant).wait, milliseconds(7));
  EXPECT_EQ(std::get<PermitGrant>(*grant).record.limit, record.limit);
}

// Found by fuzzing: a datagram that states an array of 2^60 members ended the
// process.
TEST(PeerMessagesTest, DecodedEvidenceEqualsTheEncodedOne) {
  PartRecord fatal;
  fatal.part = 0xffffffffffffffff;
  fatal.is_quarantined = true;
  fatal.crashes = {{0x8000000000000001, milliseconds(1500)},
                   {2, milliseconds(20)}};
  PartRecord sound;
  sound.part = 3;
  sound.sound = PartRecord::SoundRun{9, milliseconds(40)};
  const auto bytes = EncodePeerMessage(PartEvidence{{fatal, sound}});
  const auto message = DecodePeerMessage(bytes);
  ASSERT_TRUE(message.has_value());
  const auto& records = std::get<PartEvidence>(*message).records;
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(records[0].part, fatal.part);
  EXPECT_TRUE(records[0].is_quarantined);
  ASSERT_EQ(records[0].crashes.size(), 2U);
  EXPECT_EQ(records[0].crashes[0].process, 0x8000000000000001);
  EXPECT_EQ(records[0].crashes[0].age, milliseconds(1500));
  EXPECT_FALSE(records[0].sound.has_value());
  ASSERT_TRUE(records[1].sound.has_value());
  EXPECT_EQ(records[1].sound->id, 9U);
  EXPECT_EQ(records[1].sound->age, milliseconds(40));
}

// An answer that begins in the future would clear crashes that are to come.
TEST(PeerMessagesTest, EvidenceOfTheFutureIsRejected) {
  PartRecord record;
  record.sound = PartRecord::SoundRun{1, milliseconds(-1)};
  const auto bytes = EncodePeerMessage(PartEvidence{{record}});
  EXPECT_FALSE(DecodePeerMessage(bytes).has_value());
}

TEST(PeerMessagesTest, AStatedLengthIsNotBelieved) {
  EXPECT_FALSE(DecodePeerMessage(
      std::string("\x9b\x18\x35\x60\x60\x01\xf4\x00\x00", 9)));
  EXPECT_FALSE(DecodePeerMessage(
      std::string("\x82\x0c\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 11)));
  EXPECT_FALSE(DecodePeerMessage(
      std::string("\x82\x0c\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 11)));
}

TEST(PeerMessagesTest, OtherBytesAreNoMessage) {
  const auto bytes = EncodePeerMessage(FreshnessReply{1, 2, seconds(3)});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodePeerMessage(bytes.substr(0, size)));
  }
  EXPECT_FALSE(DecodePeerMessage("\x81\x0b"));
  EXPECT_FALSE(
      DecodePeerMessage(EncodePeerMessage(FreshnessReply{1, 2, seconds(-3)})));
  EXPECT_FALSE(DecodePeerMessage("hello"));
}

TEST(PeerTableTest, SilentAndLeavingRoutersAreNotServing) {
  PeerTable peers("self:1");
  PeerReport report;
  report.started_unix_ms = 1;
  report.sequence = 1;
  report.peer_address = "peer:1";
  report.caller_address = "peer:2";
  report.is_ready = true;
  peers.ApplyReport(report, report.sequence, kStart);
  EXPECT_EQ(peers.ServingRouters(kStart).size(), 1U);
  EXPECT_TRUE(peers.ServingRouters(kStart + seconds(2)).empty());
  report.sequence = 2;
  report.is_leaving = true;
  peers.ApplyReport(report, report.sequence, kStart);
  EXPECT_TRUE(peers.ServingRouters(kStart).empty());
}

TEST(PeerTableTest, RowsOfRoutersThatAreGoneDelayNoTargetList) {
  GatewayOptions options;
  options.router = RouterId("self:1#1");
  options.peer_address = "self:1";
  options.data_center = DataCenterId("west");
  GatewayCore core(options);
  std::vector<PeerSeed> seeds;
  for (int i = 0; i < 300; ++i) {
    seeds.push_back({"gone:" + std::to_string(i), DataCenterId("west"), 1});
  }
  core.AddPeers({seeds[0]}, kStart);
  auto now = kStart;
  std::vector<Time> reads;
  const auto report_until = [&](Time until) {
    for (; now < until; now += milliseconds(100)) {
      PeerReport report;
      report.started_unix_ms = 1;
      report.sequence =
          static_cast<std::uint64_t>(now.time_since_epoch() / milliseconds(1));
      report.peer_address = "peer:1";
      report.data_center = DataCenterId("west");
      report.is_store_continuous = true;
      core.HandleReport(report, now);
      core.MakePeerMessages(now);
      const auto demand = core.TakeListReadDemand();
      if (demand) reads.push_back(now + demand->delay);
    }
  };
  report_until(kStart + seconds(15));
  ASSERT_FALSE(reads.empty());
  EXPECT_LT(reads.front() - kStart, seconds(11));
  core.AddPeers(seeds, now);
  report_until(kStart + seconds(16));
  reads = {now};
  report_until(kStart + seconds(116));
  ASSERT_GE(reads.size(), 90U);
  for (std::size_t i = 1; i < reads.size(); ++i) {
    EXPECT_LT(reads[i] - reads[i - 1], milliseconds(1500));
  }
}

TEST(PeerTableTest, ALateReportChangesNothing) {
  PeerTable peers("self:1");
  PeerReport report;
  report.started_unix_ms = 2;
  report.sequence = 5;
  report.peer_address = "peer:1";
  EXPECT_TRUE(peers.ApplyReport(report, report.sequence, kStart));
  EXPECT_FALSE(peers.ApplyReport(report, report.sequence, kStart));
  report.started_unix_ms = 1;
  report.sequence = 9;
  EXPECT_FALSE(peers.ApplyReport(report, report.sequence, kStart))
      << "of the process before";
}

}  // namespace
}  // namespace papayaplank
