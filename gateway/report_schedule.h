// Chooses the peers that get a report at each tick, so that the number of
// reports does not grow with the square of the number of routers. A tick is one
// firing of the periodic timer of the I/O layer, every 100 ms.
#ifndef GATEWAY_REPORT_SCHEDULE_H_
#define GATEWAY_REPORT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayaplank {

// A peer to report to.
struct ReportPeer {
  std::string address;
  // In the same data centre, so it shares more targets with this router.
  bool is_near = false;
};

// Addresses of peers to report to at one tick.
struct DueReports {
  // Rates of customers change slowly, so most reports omit them.
  std::vector<std::string> with_rates;
  std::vector<std::string> without_rates;
};

// In a small fleet, every peer gets a report at every tick. The periods grow
// with the fleet until near peers get one every second tick and the others
// every fourth, which is often enough for the liveness checks.
auto DuePeers(const std::vector<ReportPeer>& peers, std::uint64_t tick)
    -> DueReports;

}  // namespace papayaplank

#endif  // GATEWAY_REPORT_SCHEDULE_H_
