// Reports in fleets of several sizes.
#include <gtest/gtest.h>

#include <map>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

auto MakePeers(int near, int far) -> std::vector<ReportPeer> {
  std::vector<ReportPeer> peers;
  for (int i = 0; i < near + far; ++i) {
    peers.push_back({std::to_string(i), i < near});
  }
  return peers;
}

// What the peers of a fleet hear over many ticks.
struct Heard {
  std::size_t most_reports_per_tick = 0;
  // By peer, the longest gap in ticks.
  std::map<std::string, std::uint64_t> report_gap;
  std::map<std::string, std::uint64_t> rates_gap;
};

auto Listen(const std::vector<ReportPeer>& peers) -> Heard {
  constexpr std::uint64_t kTicks = 200;
  Heard heard;
  std::map<std::string, std::uint64_t> last_report;
  std::map<std::string, std::uint64_t> last_rates;
  const auto note = [](auto& gaps, auto& last, const auto& peer, auto tick) {
    gaps[peer] = std::max(gaps[peer], tick - last[peer]);
    last[peer] = tick;
  };
  for (std::uint64_t tick = 1; tick <= kTicks; ++tick) {
    const auto due = DuePeers(peers, tick);
    heard.most_reports_per_tick =
        std::max(heard.most_reports_per_tick,
                 due.with_rates.size() + due.without_rates.size());
    for (const auto& peer : due.without_rates) {
      note(heard.report_gap, last_report, peer, tick);
    }
    for (const auto& peer : due.with_rates) {
      note(heard.report_gap, last_report, peer, tick);
      note(heard.rates_gap, last_rates, peer, tick);
    }
  }
  return heard;
}

TEST(ReportScheduleTest, InASmallFleetEverybodyHearsEveryTick) {
  const auto peers = MakePeers(2, 5);
  const auto heard = Listen(peers);
  for (const auto& peer : peers) {
    EXPECT_EQ(heard.report_gap.at(peer.address), 1U);
    EXPECT_LE(heard.rates_gap.at(peer.address), 3U);
  }
}

TEST(ReportScheduleTest, InALargeFleetTheWorkIsBounded) {
  const auto peers = MakePeers(20, 50);
  const auto heard = Listen(peers);
  // A third of what it would be at every tick.
  EXPECT_LE(heard.most_reports_per_tick, peers.size() / 3 + 1);
  for (const auto& peer : peers) {
    EXPECT_LE(heard.report_gap.at(peer.address), peer.is_near ? 2U : 4U);
    // Rates of a peer count for 1.5 s.
    EXPECT_LE(heard.rates_gap.at(peer.address), 8U);
  }
}

}  // namespace
}  // namespace papayaplank
