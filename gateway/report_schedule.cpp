// Periods by the size of the fleet.
#include "gateway/report_schedule.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Reports a tick that one router may send before it slows down.
constexpr std::uint64_t kPeersPerTick = 12;
// Longest period in ticks; source: a peer counts as silent after three of
// them.
constexpr std::uint64_t kLongestPeriod = 4;
// Ticks between two reports with rates in a small fleet, and reports of a
// larger one of which one has them.
constexpr std::uint64_t kTicksPerRates = 3;
constexpr std::uint64_t kReportsPerRates = 2;

}  // namespace

auto DuePeers(const std::vector<ReportPeer>& peers, std::uint64_t tick)
    -> DueReports {
  const auto wanted = (peers.size() + kPeersPerTick - 1) / kPeersPerTick;
  const auto far_period = std::clamp<std::uint64_t>(wanted, 1, kLongestPeriod);
  const auto near_period = std::max<std::uint64_t>(1, far_period / 2);
  DueReports due;
  std::uint64_t index = 0;
  for (const auto& peer : peers) {
    const auto period = peer.is_near ? near_period : far_period;
    // The peers of one period take turns.
    const auto turn = tick + index++;
    if (turn % period != 0) continue;
    const auto has_rates = period == 1 ? turn % kTicksPerRates == 0
                                       : turn / period % kReportsPerRates == 0;
    (has_rates ? due.with_rates : due.without_rates).push_back(peer.address);
  }
  return due;
}

}  // namespace papayaplank
