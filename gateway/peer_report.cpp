// Reports as CBOR arrays.
#include "gateway/peer_report.h"

#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// Raised when the layout of a report changes.
constexpr int kFormat = 1;

auto Rounded(double value) -> std::int64_t {
  return static_cast<std::int64_t>(value + 0.5);
}

auto EncodeLoads(const PeerReport& report) -> Json {
  auto loads = Json::array();
  for (const auto& [target, share] : report.loads) {
    loads.push_back({target, Rounded(share.queued_tokens), share.requests,
                     Rounded(share.memory_tokens)});
  }
  return loads;
}

auto EncodeRates(const PeerReport& report) -> Json {
  auto rates = Json::array();
  for (const auto& [customer, rate] : report.rates) {
    rates.push_back(
        {customer.value(), Rounded(rate.asked), Rounded(rate.served)});
  }
  return rates;
}

}  // namespace

auto TargetHash(const TargetId& target) -> std::uint32_t {
  return static_cast<std::uint32_t>(StableHash(target.value()));
}

auto EncodePeerReport(const PeerReport& report) -> std::string {
  const Json body = {kFormat,
                     report.router.value(),
                     report.started_unix_ms,
                     report.sequence,
                     report.peer_address,
                     report.caller_address,
                     report.data_center.value(),
                     report.is_leaving,
                     report.is_ready,
                     report.config_version,
                     EncodeLoads(report),
                     EncodeRates(report),
                     report.left_targets};
  std::string bytes;
  Json::to_cbor(body, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

auto DecodePeerReport(std::string_view bytes) -> std::optional<PeerReport> {
  const auto body = Json::from_cbor(bytes, true, false);
  if (!body.is_array() || body.size() != 13 || body[0] != kFormat) {
    return std::nullopt;
  }
  // The library throws on a member of another type; such bytes are no report.
  try {
    PeerReport report;
    report.router = RouterId(body[1].get<std::string>());
    report.started_unix_ms = body[2].get<std::int64_t>();
    report.sequence = body[3].get<std::uint64_t>();
    report.peer_address = body[4].get<std::string>();
    report.caller_address = body[5].get<std::string>();
    report.data_center = DataCenterId(body[6].get<std::string>());
    report.is_leaving = body[7].get<bool>();
    report.is_ready = body[8].get<bool>();
    report.config_version = body[9].get<std::uint64_t>();
    for (const auto& load : body[10]) {
      report.loads.emplace_back(
          load.at(0).get<std::uint32_t>(),
          LoadShare{load.at(1).get<double>(), load.at(2).get<int>(),
                    load.at(3).get<double>()});
    }
    for (const auto& rate : body[11]) {
      report.rates[CustomerId(rate.at(0).get<std::string>())] =
          CustomerRate{rate.at(1).get<double>(), rate.at(2).get<double>()};
    }
    report.left_targets = body[12].get<std::vector<std::uint32_t>>();
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaplank
