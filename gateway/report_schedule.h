// Which peers get a report at each tick, so that the work of reports does not
// grow with the square of the routers.
#ifndef GATEWAY_REPORT_SCHEDULE_H_
#define GATEWAY_REPORT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayaplank {

// A peer to report to.
struct ReportPeer {
  std::string address;
  // In the same data centre; its requests meet this router's at more targets.
  bool is_near = false;
};

// Peers that are due now.
struct DueReports {
  // Most reports leave out the rates of customers, which change slowly.
  std::vector<std::string> with_rates;
  std::vector<std::string> without_rates;
};

// In a small fleet everybody hears every tick. In a larger one near peers hear
// every second tick and the others every fourth, which liveness allows.
auto DuePeers(const std::vector<ReportPeer>& peers, std::uint64_t tick)
    -> DueReports;

}  // namespace papayaplank

#endif  // GATEWAY_REPORT_SCHEDULE_H_
