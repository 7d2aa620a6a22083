// Tests the report periods in fleets of several sizes.
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

// The reports that the peers of a fleet receive over many ticks.
struct ReceivedReports {
  std::size_t most_reports_per_tick = 0;
  // Longest gap in ticks, by peer.
  std::map<std::string, std::uint64_t> report_gap;
  std::map<std::string, std::uint64_t> rates_gap;
};

auto RunSchedule(const std::vector<ReportPeer>& peers) -> ReceivedReports {
  constexpr std::uint64_t kTicks = 200;
  ReceivedReports received;
  std::map<std::string, std::uint64_t> last_report;
  std::map<std::string, std::uint64_t> last_rates;
  const auto record_gap = [](auto& gaps, auto& last, const auto& peer,
                             auto tick) {
    gaps[peer] = std::max(gaps[peer], tick - last[peer]);
    last[peer] = tick;
  };
  for (std::uint64_t tick = 1; tick <= kTicks; ++tick) {
    const auto due = DuePeers(peers, tick);
    received.most_reports_per_tick =
        std::max(received.most_reports_per_tick,
                 due.with_rates.size() + due.without_rates.size());
    for (const auto& peer : due.without_rates) {
      record_gap(received.report_gap, last_report, peer, tick);
    }
    for (const auto& peer : due.with_rates) {
      record_gap(received.report_gap, last_report, peer, tick);
      record_gap(received.rates_gap, last_rates, peer, tick);
    }
  }
  return received;
}

TEST(ReportScheduleTest, InASmallFleetEveryPeerGetsEveryReport) {
  const auto peers = MakePeers(2, 5);
  const auto received = RunSchedule(peers);
  for (const auto& peer : peers) {
    EXPECT_EQ(received.report_gap.at(peer.address), 1U);
    EXPECT_LE(received.rates_gap.at(peer.address), 3U);
  }
}

TEST(ReportScheduleTest, InALargeFleetReportsPerTickAreBounded) {
  const auto peers = MakePeers(20, 50);
  const auto received = RunSchedule(peers);
  // A third of one report to every peer.
  EXPECT_LE(received.most_reports_per_tick, peers.size() / 3 + 1);
  for (const auto& peer : peers) {
    EXPECT_LE(received.report_gap.at(peer.address), peer.is_near ? 2U : 4U);
    // Rates of a peer count for 1.5 s.
    EXPECT_LE(received.rates_gap.at(peer.address), 8U);
  }
}

}  // namespace
}  // namespace papayaplank
