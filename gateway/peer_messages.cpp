// Encodes messages as CBOR arrays.
#include "gateway/peer_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// First member of a message. A kind gets a new number when its layout changes.
constexpr int kReport = 31;
constexpr int kQuery = 12;
constexpr int kReply = 13;
constexpr int kSnapshot = 14;
constexpr std::size_t kReportMembers = 15;

auto Rounded(double value) -> std::int64_t { return std::lround(value); }

auto EncodeLoads(const PeerReport& report) -> Json {
  auto loads = Json::array();
  for (const auto& [target, share] : report.loads) {
    loads.push_back(target);
    loads.push_back(Rounded(share.queued_tokens));
    loads.push_back(share.requests);
    loads.push_back(Rounded(share.memory_tokens));
  }
  return loads;
}

auto DecodeLoads(const Json& json, PeerReport& report) -> void {
  constexpr std::size_t kMembers = 4;
  for (std::size_t i = 0; i + kMembers <= json.size(); i += kMembers) {
    report.loads.emplace_back(
        json[i].get<std::uint32_t>(),
        LoadShare{json[i + 1].get<double>(), json[i + 2].get<int>(),
                  json[i + 3].get<double>()});
  }
}

auto EncodeRates(const PeerReport& report) -> Json {
  if (!report.rates) return nullptr;
  auto rates = Json::array();
  for (const auto& [customer, rate] : *report.rates) {
    rates.push_back(
        {customer.value(), Rounded(rate.demand), Rounded(rate.served)});
  }
  return rates;
}

auto DecodeRates(const Json& json, PeerReport& report) -> void {
  if (json.is_null()) return;
  report.rates.emplace();
  for (const auto& rate : json) {
    (*report.rates)[CustomerId(rate.at(0).get<std::string>())] =
        CustomerRate{rate.at(1).get<double>(), rate.at(2).get<double>()};
  }
}

auto EncodeTargetUpdates(const std::vector<TargetUpdate>& updates) -> Json {
  auto all = Json::array();
  for (const auto& update : updates) {
    const auto& row = update.row;
    all.push_back({update.version, update.is_gone, row.id.value(), row.address,
                   row.pool.value(), row.data_center.value(), row.slots,
                   row.is_draining, row.started_unix_ms, row.reports});
  }
  return all;
}

auto DecodeTargetUpdates(const Json& json) -> std::vector<TargetUpdate> {
  std::vector<TargetUpdate> updates;
  for (const auto& entry : json) {
    TargetUpdate update;
    auto& row = update.row;
    update.version = entry.at(0).get<std::uint64_t>();
    update.is_gone = entry.at(1).get<bool>();
    row.id = TargetId(entry.at(2).get<std::string>());
    row.address = entry.at(3).get<std::string>();
    row.pool = PoolId(entry.at(4).get<std::string>());
    row.data_center = DataCenterId(entry.at(5).get<std::string>());
    row.slots = entry.at(6).get<int>();
    row.is_draining = entry.at(7).get<bool>();
    row.started_unix_ms = entry.at(8).get<std::int64_t>();
    row.reports = entry.at(9).get<std::int64_t>();
    updates.push_back(std::move(update));
  }
  return updates;
}

auto ToJson(const PeerReport& report) -> Json {
  return {kReport,
          report.started_unix_ms,
          report.sequence,
          report.peer_address,
          report.caller_address,
          report.data_center.value(),
          report.is_leaving,
          report.diverts_callers,
          report.is_ready,
          report.config_version,
          report.is_store_continuous,
          report.is_store_failing,
          EncodeLoads(report),
          EncodeRates(report),
          EncodeTargetUpdates(report.target_updates)};
}

auto ToJson(const FreshnessQuery& query) -> Json {
  return {kQuery, query.nonce};
}

// The age is encoded in microseconds.
auto ToJson(const FreshnessReply& reply) -> Json {
  return {kReply, reply.nonce, reply.config_version, reply.age.count()};
}

auto ToJson(const PeerSnapshot& snapshot) -> Json {
  return {kSnapshot, snapshot.configuration,
          EncodeTargetUpdates(snapshot.targets)};
}

auto DecodeReport(const Json& body) -> PeerReport {
  PeerReport report;
  report.started_unix_ms = body.at(1).get<std::int64_t>();
  report.sequence = body.at(2).get<std::uint64_t>();
  report.peer_address = body.at(3).get<std::string>();
  report.caller_address = body.at(4).get<std::string>();
  report.data_center = DataCenterId(body.at(5).get<std::string>());
  report.is_leaving = body.at(6).get<bool>();
  report.diverts_callers = body.at(7).get<bool>();
  report.is_ready = body.at(8).get<bool>();
  report.config_version = body.at(9).get<std::uint64_t>();
  report.is_store_continuous = body.at(10).get<bool>();
  report.is_store_failing = body.at(11).get<bool>();
  DecodeLoads(body.at(12), report);
  DecodeRates(body.at(13), report);
  report.target_updates = DecodeTargetUpdates(body.at(14));
  return report;
}

auto DecodeMessage(const Json& body) -> std::optional<PeerMessage> {
  const auto kind = body.at(0).get<int>();
  if (kind == kReport && body.size() == kReportMembers) {
    return DecodeReport(body);
  }
  if (kind == kQuery) return FreshnessQuery{body.at(1).get<std::uint64_t>()};
  if (kind == kReply) {
    return FreshnessReply{body.at(1).get<std::uint64_t>(),
                          body.at(2).get<std::uint64_t>(),
                          Duration(body.at(3).get<std::int64_t>())};
  }
  if (kind == kSnapshot) {
    return PeerSnapshot{body.at(1).get<std::string>(),
                        DecodeTargetUpdates(body.at(2))};
  }
  return std::nullopt;
}

}  // namespace

auto TargetHash(const TargetId& target) -> std::uint32_t {
  return static_cast<std::uint32_t>(StableHash(target.value()));
}

auto EncodePeerMessage(const PeerMessage& message) -> std::string {
  std::string bytes;
  std::visit(
      [&bytes](const auto& body) {
        Json::to_cbor(ToJson(body),
                      nlohmann::detail::output_adapter<char>(bytes));
      },
      message);
  return bytes;
}

auto DecodePeerMessage(std::string_view bytes) -> std::optional<PeerMessage> {
  const auto body = Json::from_cbor(bytes, true, false);
  if (!body.is_array() || body.empty()) return std::nullopt;
  // The library throws if a member is missing or has the wrong type; such bytes
  // are not a valid message.
  try {
    return DecodeMessage(body);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaplank
