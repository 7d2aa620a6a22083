// Derives report periods from the size of the fleet.
#include "gateway/report_schedule.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Reports that a router sends per tick before the periods grow.
constexpr std::uint64_t kPeersPerTick = 12;
// In ticks. A peer counts as silent after three of these periods without a
// report.
constexpr std::uint64_t kLongestPeriod = 4;
// In a small fleet, rates go out every third tick; in a larger one, with every
// second report to a peer.
constexpr std::uint64_t kTicksPerRates = 3;
constexpr std::uint64_t kReportsPerRates = 2;

}  // namespace

auto DuePeers(const std::vector<ReportPeer>& peers, std::uint64_t tick)
    -> DueReports {
  const auto wanted_period = (peers.size() + kPeersPerTick - 1) / kPeersPerTick;
  const auto far_period =
      std::clamp<std::uint64_t>(wanted_period, 1, kLongestPeriod);
  const auto near_period = std::max<std::uint64_t>(1, far_period / 2);
  DueReports due;
  std::uint64_t index = 0;
  for (const auto& peer : peers) {
    const auto period = peer.is_near ? near_period : far_period;
    // Peers with the same period are spread over its ticks.
    const auto turn = tick + index++;
    if (turn % period != 0) continue;
    const auto has_rates = period == 1 ? turn % kTicksPerRates == 0
                                       : turn / period % kReportsPerRates == 0;
    (has_rates ? due.with_rates : due.without_rates).push_back(peer.address);
  }
  return due;
}

}  // namespace papayaplank
