// Tests the decisions about requests, callers, watchers and peers, in virtual
// time and without sockets.
#include <gtest/gtest.h>

#include "tests/gateway/gateway_core_fixture.h"

namespace papayaplank {
namespace {

TEST_F(GatewayCoreTest, WithoutConfigurationRefusalsAreTemporary) {
  const auto reason = Reason(core_.Accept(Facts("/chat/1", "key-a"), kStart));
  EXPECT_EQ(reason, RefusalReason::kNoConfiguration);
  EXPECT_EQ(RefusalStatus(reason), 503);
  EXPECT_FALSE(core_.is_ready(kStart));
}

TEST_F(GatewayCoreTest, RefusesUnknownKeysAndRoutes) {
  Serve(1);
  EXPECT_EQ(Reason(core_.Accept(Facts("/chat/1", "stolen"), kStart)),
            RefusalReason::kUnknownKey);
  EXPECT_EQ(Reason(core_.Accept(Facts("/none/1", "key-a"), kStart)),
            RefusalReason::kNoRoute);
  EXPECT_EQ(Accepted(Facts("/chat/1", "key-b")).customer, CustomerId("b"));
}

// A router that had been paused or cut off denied routes and keys that had been
// added meanwhile (CONFIG); callers don't try again after that.
TEST_F(GatewayCoreTest, AConfigurationThatMayBeOldDeniesNothing) {
  Serve(1);
  const auto bound = GatewayOptions().configuration_bound;
  const auto refusal = [&](const char* path, const char* key, Time now) {
    return Reason(core_.Accept(Facts(path, key), now));
  };
  EXPECT_EQ(refusal("/none/1", "key-a", kStart + bound),
            RefusalReason::kNoRoute);
  EXPECT_EQ(refusal("/chat/1", "stolen", kStart + bound),
            RefusalReason::kUnknownKey);
  const auto later = kStart + bound + milliseconds(1);
  EXPECT_EQ(refusal("/none/1", "key-a", later),
            RefusalReason::kConfigurationUnconfirmed);
  EXPECT_EQ(refusal("/chat/1", "stolen", later),
            RefusalReason::kConfigurationUnconfirmed);
  EXPECT_EQ(RefusalStatus(RefusalReason::kConfigurationUnconfirmed), 503);
  core_.ConfirmConfiguration(later);
  EXPECT_EQ(refusal("/none/1", "key-a", later), RefusalReason::kNoRoute);
  core_.RecordPause(milliseconds(700), later);
  EXPECT_EQ(refusal("/none/1", "key-a", later),
            RefusalReason::kConfigurationUnconfirmed);
}

TEST_F(GatewayCoreTest, NoKeyIsAcceptedLongerThanTheRevocationBound) {
  Serve(1);
  const auto late = kStart + milliseconds(4700);
  const auto reason = Reason(core_.Accept(Facts("/chat/1", "key-a"), late));
  EXPECT_EQ(reason, RefusalReason::kKeyUnconfirmed);
  EXPECT_EQ(RefusalStatus(reason), 503);
}

TEST_F(GatewayCoreTest, AfterAPauseKeysAreConfirmedFirst) {
  Serve(1);
  core_.RecordPause(seconds(1), kStart);
  EXPECT_EQ(Reason(core_.Accept(Facts("/chat/1", "key-a"), kStart)),
            RefusalReason::kKeyUnconfirmed);
}

// Other routers repeat the news of a departure for 6 s only (DRAIN).
TEST_F(GatewayCoreTest, AfterALongPauseTheTargetListIsRead) {
  Serve(1);
  core_.MakePeerMessages(kStart);
  core_.TakeListReadDemand();
  core_.RecordPause(seconds(5), kStart);
  core_.MakePeerMessages(kStart);
  const auto demand = core_.TakeListReadDemand();
  ASSERT_TRUE(demand);
  EXPECT_EQ(demand->reason, ListReadReason::kMissedNews);
  EXPECT_LE(demand->delay, milliseconds(800));
}

TEST_F(GatewayCoreTest, AnOlderConfigurationNeverReplacesANewerOne) {
  EXPECT_TRUE(core_.SetTable(MakeTable(5)));
  EXPECT_FALSE(core_.SetTable(MakeTable(4)));
  EXPECT_FALSE(core_.SetTable(MakeTable(5)));
  EXPECT_EQ(core_.table()->version(), 5U);
}

TEST_F(GatewayCoreTest, ARequestThatMayHaveRunIsNotRetried) {
  Serve(3);
  auto request = Accepted(Facts("/order/1", "key-a"));
  const auto placement = std::get<Placement>(core_.Place(request, kStart));
  for (const auto outcome :
       {AttemptOutcome::kBroken, AttemptOutcome::kServerError}) {
    EXPECT_FALSE(core_.MayRetry(request, outcome, false, kStart));
  }
  EXPECT_TRUE(
      core_.MayRetry(request, AttemptOutcome::kNotExecuted, false, kStart));
  EXPECT_FALSE(placement.target.id.is_empty());
}

TEST_F(GatewayCoreTest, AStreamThatIsNotResumableIsNotRetried) {
  Serve(3);
  auto request = Accepted(Facts("/chat/1", "key-a", 100));
  core_.Place(request, kStart);
  EXPECT_FALSE(core_.MayRetry(request, AttemptOutcome::kBroken, false, kStart));
  EXPECT_FALSE(core_.MayRetry(request, AttemptOutcome::kBroken, true, kStart));
}

TEST_F(GatewayCoreTest, AnIdempotentRequestIsRetriedAtAnotherTarget) {
  Serve(2);
  auto request = Accepted(Facts("/status/1", "key-a"));
  const auto first = std::get<Placement>(core_.Place(request, kStart));
  core_.RecordAttemptEnd(request, first, AttemptOutcome::kBroken, kStart);
  ASSERT_TRUE(core_.MayRetry(request, AttemptOutcome::kBroken, false, kStart));
  const auto second = std::get<Placement>(core_.Place(request, kStart));
  EXPECT_NE(first.target.id, second.target.id);
  EXPECT_FALSE(core_.MayRetry(request, AttemptOutcome::kBroken, false, kStart))
      << "the route allows two attempts";
}

TEST_F(GatewayCoreTest, RefusesAtOnceWhatNoTargetCouldAnswerInTime) {
  Serve(1);
  // Each prompt takes 200 ms at the initial estimate of the prefill rate.
  auto refused = 0;
  for (int i = 0; i < 20; ++i) {
    auto request = Accepted(Facts("/chat/1", "key-a", 6000));
    const auto result = core_.Place(request, kStart);
    if (const auto* refusal = std::get_if<Refusal>(&result)) {
      ++refused;
      EXPECT_GT(refusal->retry_after, Duration{});
    }
  }
  EXPECT_GE(refused, 15);
  EXPECT_LT(refused, 20);
}

TEST_F(GatewayCoreTest, AnEndedRequestFreesItsCapacity) {
  Serve(1);
  for (int i = 0; i < 200; ++i) {
    auto request = Accepted(Facts("/chat/1", "key-a", 3000));
    const auto result = core_.Place(request, kStart);
    ASSERT_TRUE(std::holds_alternative<Placement>(result)) << "request " << i;
    const auto& placement = std::get<Placement>(result);
    core_.RecordFirstToken(placement, kStart);
    core_.RecordAttemptEnd(request, placement, AttemptOutcome::kComplete,
                           kStart);
  }
}

// Load pattern: one customer floods while another sends few requests. The
// second is served although the first alone would use all capacity.
TEST_F(GatewayCoreTest, AFloodLeavesCapacityForOthers) {
  Serve(2);
  int refused_small = 0;
  int served_small = 0;
  int refused_flood = 0;
  struct Open {
    GatewayRequest request;
    Placement placement;
    Time first_token_at{};
    Time ends_at{};
  };
  std::deque<Open> open;
  for (int i = 0; i < 4000; ++i) {
    const auto now = kStart + milliseconds(5) * i;
    core_.ConfirmConfiguration(now);
    for (const auto& running : open) {
      if (running.first_token_at <= now) {
        core_.RecordFirstToken(running.placement, now);
      }
    }
    while (!open.empty() && open.front().ends_at <= now) {
      const auto& done = open.front();
      core_.RecordAttemptEnd(done.request, done.placement,
                             AttemptOutcome::kComplete, now);
      open.pop_front();
    }
    const auto is_small = i % 40 == 0;
    auto request =
        Accepted(Facts("/chat/1", is_small ? "key-b" : "key-a", 1000), now);
    const auto result = core_.Place(request, now);
    const auto is_refused = std::holds_alternative<Refusal>(result);
    if (is_small) ++(is_refused ? refused_small : served_small);
    if (!is_small && is_refused) ++refused_flood;
    if (is_refused) continue;
    open.push_back({request, std::get<Placement>(result),
                    now + milliseconds(60), now + milliseconds(600)});
  }
  EXPECT_GT(refused_flood, 1000);
  EXPECT_GT(served_small, 95 * (served_small + refused_small) / 100);
}

TEST_F(GatewayCoreTest, RequestsWithTheSameSharedPartGoToOneTarget) {
  Serve(6);
  std::set<TargetId> used;
  for (int i = 0; i < 30; ++i) {
    auto request = Accepted(Facts("/chat/1", "key-a", 1000));
    const auto placement = std::get<Placement>(core_.Place(request, kStart));
    used.insert(placement.target.id);
    core_.RecordFirstToken(placement, kStart);
    core_.RecordAttemptEnd(request, placement, AttemptOutcome::kComplete,
                           kStart);
  }
  EXPECT_EQ(used.size(), 1U);
}

// Load pattern: several routers place requests at the same time. Each sees the
// requests of the others in their reports and chooses another target.
TEST_F(GatewayCoreTest, ReportsOfPeersMoveRequestsElsewhere) {
  Serve(2);
  auto first = Accepted(Facts("/chat/1", "key-a", 1000));
  const auto preferred =
      std::get<Placement>(core_.Place(first, kStart)).target.id;
  PeerReport report;
  report.started_unix_ms = 1;
  report.sequence = 1;
  report.peer_address = "10.0.0.2:1";
  report.loads = {{TargetHash(preferred), LoadShare{20000, 8, 20000}}};
  core_.HandleReport(report, kStart);
  auto request = Accepted(Facts("/chat/1", "key-a", 1000));
  const auto placement = std::get<Placement>(core_.Place(request, kStart));
  EXPECT_NE(placement.target.id, preferred);
}

// A target's row changes its slots while requests run there.
TEST_F(GatewayCoreTest, ForecastsUseTheNewestSizeOfATarget) {
  Serve(1);
  std::vector<GatewayRequest> requests;
  for (int i = 0; i < 3; ++i) {
    auto request = Accepted(Facts("/chat/1", "key-a", 100));
    core_.Place(request, kStart);
    requests.push_back(std::move(request));
  }
  auto rows = MakeTargets(1);
  rows[0].slots = 3;
  core_.SetTargets(rows, 2, kStart);
  auto next = Accepted(Facts("/chat/1", "key-a", 100));
  const auto placed = core_.Place(next, kStart);
  ASSERT_TRUE(std::holds_alternative<Refusal>(placed)) << "the batch is full";
  EXPECT_EQ(std::get<Refusal>(placed).facts->forecast.batch_share, 1.0);
  rows[0].slots = 8;
  core_.SetTargets(rows, 3, kStart);
  EXPECT_TRUE(std::holds_alternative<Placement>(core_.Place(next, kStart)));
}

// A router of a small fleet is killed and reports no end of its requests.
TEST_F(GatewayCoreTest, RequestsOfASilentPeerAreForgotten) {
  Serve(1);
  PeerReport report;
  report.started_unix_ms = 1;
  report.sequence = 1;
  report.peer_address = "10.0.0.2:1";
  report.loads = {{TargetHash(MakeTargets(1)[0].id), LoadShare{0, 8, 95000}}};
  core_.HandleReport(report, kStart);
  EXPECT_EQ(core_.PoolStates(kStart).front().requests, 8);
  core_.MakePeerMessages(kStart + seconds(1));
  EXPECT_EQ(core_.PoolStates(kStart).front().requests, 8);
  core_.MakePeerMessages(kStart + seconds(2));
  EXPECT_EQ(core_.PoolStates(kStart).front().requests, 0);
}

TEST_F(GatewayCoreTest, AnUpdateOfAPeerTakesADrainingTargetOutOfUse) {
  Serve(2);
  PeerReport report;
  report.started_unix_ms = 1;
  report.sequence = 1;
  report.peer_address = "10.0.0.2:1";
  auto row = MakeTargets(1)[0];
  row.is_draining = true;
  report.target_updates = {TargetUpdate{9, false, row}};
  core_.HandleReport(report, kStart);
  for (int i = 0; i < 20; ++i) {
    auto request = Accepted(Facts("/status/1", "key-a"));
    const auto placement = std::get<Placement>(core_.Place(request, kStart));
    EXPECT_NE(placement.target.id, row.id);
    core_.RecordAttemptEnd(request, placement, AttemptOutcome::kComplete,
                           kStart);
  }
}

TEST_F(GatewayCoreTest, TheAgeInAReplyCountsFromTheQuery) {
  core_.SetTable(MakeTable(3));
  const auto query = core_.MakeQuery(kStart);
  core_.HandleReply(FreshnessReply{query.nonce, 3, milliseconds(500)});
  // The age counts from the sending of the query, however late the reply is.
  EXPECT_EQ(core_.key_age(kStart + seconds(2)), milliseconds(2500));
}

TEST_F(GatewayCoreTest, APeersNewerVersionConfirmsNothing) {
  core_.SetTable(MakeTable(3));
  const auto query = core_.MakeQuery(kStart);
  core_.HandleReply(FreshnessReply{query.nonce, 4, Duration{}});
  EXPECT_FALSE(core_.is_ready(kStart));
  core_.HandleReply(FreshnessReply{query.nonce + 1, 3, Duration{}});
  EXPECT_EQ(core_.key_age(kStart), milliseconds(4600)) << "no such query";
}

// A router that had started as the store returned from an older copy told the
// others of targets that had left, and confirmed keys by the copy (DRAIN).
TEST_F(GatewayCoreTest, NewsOfAStarterAreDoubtedWhileAnEraSettles) {
  Serve(1);
  const auto row = MakeTargets(1)[0];
  core_.RecordStoreEra(StoreEra(1), kStart, kStart);
  core_.ApplyTargetUpdates({TargetUpdate{99, true, row}}, StoreEra(1), kStart);
  const auto returned_at = kStart + seconds(1);
  core_.RecordStoreEra(StoreEra(2), returned_at, returned_at);
  const std::vector<TargetUpdate> news = {TargetUpdate{150, false, row}};
  const auto applied = core_.ApplyTargetUpdates(news, StoreEra(2), returned_at);
  EXPECT_TRUE(applied.joined.empty());
  EXPECT_EQ(core_.directory().Find(row.id), nullptr);

  const auto age_before = core_.key_age(returned_at + seconds(1));
  const auto query = core_.MakeQuery(returned_at + seconds(1));
  core_.HandleReply(
      FreshnessReply{query.nonce, core_.table()->version(), Duration{}});
  EXPECT_EQ(core_.key_age(returned_at + seconds(1)), age_before);
  // A confirmation from before the return is one by the newest store.
  const auto other = core_.MakeQuery(returned_at + seconds(1));
  core_.HandleReply(FreshnessReply{other.nonce, core_.table()->version(),
                                   milliseconds(1500)});
  EXPECT_EQ(core_.key_age(returned_at + seconds(1)), milliseconds(1500));
}

// Streams of the first moment were taken, whatever their limit, and cut (LOST).
TEST_F(GatewayCoreTest, AStoppingRouterRefusesWhatCannotEnd) {
  Serve(1);
  core_.BeginStop(kStart);
  EXPECT_TRUE(core_
                  .CallerAddresses(DataCenterId("west"), "shop.example",
                                   "caller", kStart)
                  .empty());
  for (const std::string path : {"/chat/1", "/status/1", "/order/1"}) {
    auto facts = Facts(path, "key-a", 100);
    EXPECT_EQ(Reason(core_.Accept(facts, kStart)), RefusalReason::kLeaving)
        << path << ", ten seconds";
    facts.caller_wait = milliseconds(3000);
    EXPECT_EQ(Accepted(facts, kStart + seconds(4)).deadline,
              kStart + seconds(7));
    EXPECT_EQ(Reason(core_.Accept(facts, kStart + milliseconds(4500))),
              RefusalReason::kLeaving)
        << path << ", three seconds, late";
  }
}

// Requests that a stopping router took late were cut without an answer, as
// earlier ones of their route had been quick (LOST).
TEST_F(GatewayCoreTest, AStoppingRouterGuessesNoTimes) {
  Serve(1);
  for (int i = 0; i < 20; ++i) {
    auto request = Accepted(Facts("/order/1", "key-a"), kStart);
    auto placed = core_.Place(request, kStart);
    core_.RecordAttemptEnd(request, std::get<Placement>(placed),
                           AttemptOutcome::kComplete,
                           kStart + milliseconds(60));
  }
  const auto stopped_at = kStart + milliseconds(100);
  core_.BeginStop(stopped_at);
  core_.ConfirmConfiguration(stopped_at + seconds(3));
  const std::string path = "/order/1";
  auto facts = Facts(path, "key-a");
  facts.caller_wait = seconds(4);
  EXPECT_EQ(Reason(core_.Accept(facts, stopped_at + milliseconds(4600))),
            RefusalReason::kLeaving);
  facts.caller_wait = milliseconds(1500);
  Accepted(facts, stopped_at + milliseconds(4600));
}

// The callers of one customer flood one small router: it refuses new streams at
// once and diverts callers to other routers until its lateness has fallen.
TEST_F(GatewayCoreTest, ASaturatedRouterRefusesStreamsAndDivertsCallers) {
  Serve(1);
  PeerReport report;
  report.started_unix_ms = 1;
  report.peer_address = "10.0.0.2:1";
  report.caller_address = "c10.0.0.2:1";
  report.data_center = DataCenterId("west");
  report.is_ready = true;
  for (int i = 0; i < 3; ++i) {
    report.sequence = static_cast<std::uint64_t>(i) + 1;
    report.peer_address = "10.0.0." + std::to_string(i + 2) + ":1";
    report.caller_address = "c" + report.peer_address;
    core_.HandleReport(report, kStart);
  }
  EXPECT_EQ(core_
                .CallerAddresses(DataCenterId("west"), "shop.example", "caller",
                                 kStart)
                .size(),
            4U);
  for (int i = 0; i < 10; ++i) {
    core_.RecordLateness(milliseconds(300), kStart);
  }
  const auto reason =
      Reason(core_.Accept(Facts("/chat/1", "key-a", 100), kStart));
  EXPECT_EQ(reason, RefusalReason::kRouterBusy);
  EXPECT_EQ(RefusalStatus(reason), 503);
  Accepted(Facts("/order/1", "key-a"));
  EXPECT_EQ(core_
                .CallerAddresses(DataCenterId("west"), "shop.example", "caller",
                                 kStart)
                .size(),
            3U);
  EXPECT_FALSE(core_.is_accepting_connections(kStart));
  for (int i = 0; i < 10; ++i) core_.RecordLateness({}, kStart);
  Accepted(Facts("/chat/1", "key-a", 100));
  EXPECT_TRUE(core_.is_accepting_connections(kStart));
}

// In a burst that loads the whole fleet, a paused listener would move callers
// to routers that are as loaded.
TEST_F(GatewayCoreTest, InALoadedFleetEveryRouterAcceptsConnections) {
  Serve(1);
  PeerReport report;
  report.started_unix_ms = 1;
  report.sequence = 1;
  report.data_center = DataCenterId("west");
  report.is_ready = true;
  report.diverts_callers = true;
  for (int i = 0; i < 3; ++i) {
    report.peer_address = "10.0.0." + std::to_string(i + 2) + ":1";
    report.caller_address = "c" + report.peer_address;
    core_.HandleReport(report, kStart);
  }
  for (int i = 0; i < 10; ++i) {
    core_.RecordLateness(milliseconds(300), kStart);
  }
  EXPECT_TRUE(core_.is_accepting_connections(kStart));
}

// If all routers start at once, their reads of the target list must spread over
// time. Otherwise no router reads it for a whole period.
TEST(TargetListDelayTest, ReadsOfRoutersThatStartTogetherSpread) {
  constexpr int kRouters = 59;
  std::vector<Time> reads;
  for (int i = 0; i < kRouters; ++i) {
    auto options = MakeOptions("10.0.0." + std::to_string(i) + ":1");
    options.seed = static_cast<std::uint64_t>(i);
    GatewayCore core(options);
    PeerReport report;
    report.started_unix_ms = 1;
    report.is_store_continuous = true;
    for (auto now = kStart; now < kStart + seconds(60);
         now += milliseconds(100)) {
      ++report.sequence;
      for (int j = 0; j < kRouters; ++j) {
        report.peer_address = "10.0.0." + std::to_string(j) + ":1";
        core.HandleReport(report, now);
      }
      core.MakePeerMessages(now);
      const auto demand = core.TakeListReadDemand();
      if (demand) reads.push_back(now + demand->delay);
    }
  }
  std::sort(reads.begin(), reads.end());
  Duration longest_gap{};
  for (std::size_t i = 1; i < reads.size(); ++i) {
    longest_gap = std::max(longest_gap, reads[i] - reads[i - 1]);
  }
  EXPECT_LT(longest_gap, milliseconds(1500));
}

TEST(ConfigWatchTest, TwoRoutersOfManyWatch) {
  std::vector<LivePeer> all;
  for (int i = 0; i < 50; ++i) {
    const auto name = "10.0.0." + std::to_string(i) + ":1";
    all.push_back({RouterId(name + "#1"), name});
  }
  int watchers = 0;
  for (const auto& self : all) {
    std::vector<LivePeer> peers;
    for (const auto& peer : all) {
      if (peer.router != self.router) peers.push_back(peer);
    }
    const ConfigWatch watch(self.router);
    if (watch.IsWatcher(peers, false)) ++watchers;
    EXPECT_LE(watch.WatcherAddresses(peers, false).size(), 2U);
  }
  EXPECT_EQ(watchers, 2);
}

// Only the store calls of the watchers fail: other routers must take over, or
// none sees a new configuration in time.
TEST(ConfigWatchTest, WatchersWithoutTheStoreAreReplaced) {
  const ConfigWatch watch(RouterId("10.0.0.9:1#1"));
  std::vector<LivePeer> peers;
  for (int i = 0; i < 6; ++i) {
    const auto name = "10.0.0." + std::to_string(i) + ":1";
    peers.push_back({RouterId(name + "#1"), name});
  }
  const auto before = watch.WatcherAddresses(peers, true);
  ASSERT_EQ(before.size(), 2U);
  for (auto& peer : peers) {
    peer.is_store_failing =
        std::count(before.begin(), before.end(), peer.peer_address) != 0;
  }
  const auto after = watch.WatcherAddresses(peers, true);
  ASSERT_EQ(after.size(), 2U);
  for (const auto& address : before) {
    EXPECT_EQ(std::count(after.begin(), after.end(), address), 0);
  }
  // If the store fails for all routers, some still watch.
  for (auto& peer : peers) peer.is_store_failing = true;
  EXPECT_EQ(watch.WatcherAddresses(peers, true).size(), 2U);
}

}  // namespace
}  // namespace papayaplank
