// Datagrams of peers: whatever decodes must survive encoding, and no message
// may harm the router that handles it.
#include <cstdlib>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

auto Handle(const PeerMessage& message) -> void {
  GatewayOptions options;
  options.router = RouterId("10.0.0.1:1#1");
  options.started_unix_ms = 1;
  options.peer_address = "10.0.0.1:1";
  options.data_center = DataCenterId("west");
  GatewayCore core(options);
  const Time now(seconds(1000));
  if (const auto* report = std::get_if<PeerReport>(&message)) {
    core.HandleReport(*report, now);
  } else if (const auto* summary = std::get_if<FleetSummary>(&message)) {
    core.HandleSummary(*summary, now);
  } else if (const auto* evidence = std::get_if<PartEvidence>(&message)) {
    core.HandleEvidence(*evidence, now);
  } else if (const auto* statements = std::get_if<StatementReport>(&message)) {
    core.HandleStatementReport(*statements, now);
  } else if (const auto* request = std::get_if<PermitRequest>(&message)) {
    core.HandlePermitRequest(*request, now);
  } else if (const auto* grant = std::get_if<PermitGrant>(&message)) {
    core.HandlePermitGrant(*grant, now);
  } else if (const auto* reply = std::get_if<FreshnessReply>(&message)) {
    core.HandleReply(*reply);
  }
  core.MakePeerMessages(now + seconds(1));
}

}  // namespace
}  // namespace papayaplank

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int {
  using namespace papayaplank;  // NOLINT: the entry point has to be global.
  const auto message = DecodePeerMessage(
      std::string_view(reinterpret_cast<const char*>(data), size));
  if (!message) return 0;
  const auto copy = DecodePeerMessage(EncodePeerMessage(*message));
  if (!copy || copy->index() != message->index()) std::abort();
  Handle(*message);
  return 0;
}
