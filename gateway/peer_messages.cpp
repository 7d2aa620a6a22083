// Encodes messages as CBOR arrays.
#include "gateway/peer_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// First member of a message. A kind gets a new number when its layout changes.
constexpr int kReport = 32;
constexpr int kQuery = 12;
constexpr int kReply = 13;
constexpr int kSnapshot = 14;
constexpr int kSummary = 41;
constexpr std::size_t kReportMembers = 6;
constexpr std::size_t kSummaryMembers = 11;
constexpr std::size_t kStateMembers = 7;

// Bits of the flags of a router state.
constexpr unsigned kLeavingBit = 1;
constexpr unsigned kDivertsBit = 2;
constexpr unsigned kReadyBit = 4;
constexpr unsigned kContinuousBit = 8;
constexpr unsigned kFailingBit = 16;
// Cores are sent in hundredths.
constexpr double kCoreSteps = 100;

auto Rounded(double value) -> std::int64_t { return std::lround(value); }

auto EncodeState(const RouterState& state) -> Json {
  const auto flags = (state.is_leaving ? kLeavingBit : 0) |
                     (state.diverts_callers ? kDivertsBit : 0) |
                     (state.is_ready ? kReadyBit : 0) |
                     (state.is_store_continuous ? kContinuousBit : 0) |
                     (state.is_store_failing ? kFailingBit : 0);
  return {state.started_unix_ms,
          state.peer_address,
          state.caller_address,
          state.data_center.value(),
          Rounded(state.cores * kCoreSteps),
          flags,
          state.config_version};
}

auto DecodeState(const Json& json, RouterState& state) -> void {
  if (json.size() != kStateMembers) {
    throw Json::other_error::create(0, "a router state has 7 members", &json);
  }
  const auto flags = json.at(5).get<unsigned>();
  state.started_unix_ms = json.at(0).get<std::int64_t>();
  state.peer_address = json.at(1).get<std::string>();
  state.caller_address = json.at(2).get<std::string>();
  state.data_center = DataCenterId(json.at(3).get<std::string>());
  state.cores = json.at(4).get<double>() / kCoreSteps;
  state.is_leaving = (flags & kLeavingBit) != 0;
  state.diverts_callers = (flags & kDivertsBit) != 0;
  state.is_ready = (flags & kReadyBit) != 0;
  state.is_store_continuous = (flags & kContinuousBit) != 0;
  state.is_store_failing = (flags & kFailingBit) != 0;
  state.config_version = json.at(6).get<std::uint64_t>();
}

auto EncodeLoads(const TargetLoads& loads) -> Json {
  auto all = Json::array();
  for (const auto& [target, share] : loads) {
    all.push_back(target);
    all.push_back(Rounded(share.queued_tokens));
    all.push_back(share.requests);
    all.push_back(Rounded(share.memory_tokens));
  }
  return all;
}

auto DecodeLoads(const Json& json) -> TargetLoads {
  constexpr std::size_t kMembers = 4;
  TargetLoads loads;
  loads.reserve(json.size() / kMembers);
  for (std::size_t i = 0; i + kMembers <= json.size(); i += kMembers) {
    const LoadShare share{json[i + 1].get<double>(), json[i + 2].get<int>(),
                          json[i + 3].get<double>()};
    if (share.queued_tokens < 0 || share.requests < 0 ||
        share.memory_tokens < 0) {
      throw Json::other_error::create(0, "a load is negative", &json);
    }
    loads.emplace_back(json[i].get<std::uint32_t>(), share);
  }
  return loads;
}

auto EncodeRates(const std::optional<FairShare::Rates>& rates) -> Json {
  if (!rates) return nullptr;
  auto all = Json::array();
  for (const auto& [customer, rate] : *rates) {
    all.push_back(
        {customer.value(), Rounded(rate.demand), Rounded(rate.served)});
  }
  return all;
}

auto DecodeRates(const Json& json) -> std::optional<FairShare::Rates> {
  if (json.is_null()) return std::nullopt;
  FairShare::Rates rates;
  for (const auto& rate : json) {
    rates[CustomerId(rate.at(0).get<std::string>())] =
        CustomerRate{rate.at(1).get<double>(), rate.at(2).get<double>()};
  }
  return rates;
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
          EncodeState(report),
          report.sequence,
          EncodeLoads(report.loads),
          EncodeRates(report.rates),
          EncodeTargetUpdates(report.target_updates)};
}

auto ToJson(const FleetSummary& summary) -> Json {
  auto included = Json::array();
  for (const auto& [router, sequence] : summary.included) {
    included.push_back(router);
    included.push_back(sequence);
  }
  auto listed = Json::array();
  for (const auto& state : summary.listed) listed.push_back(EncodeState(state));
  auto lost = Json::array();
  for (const auto& router : summary.lost) lost.push_back(router.value());
  return {kSummary,
          EncodeState(summary.sender),
          summary.sequence,
          summary.scope == FleetSummary::Scope::kFleet,
          summary.routers,
          EncodeLoads(summary.loads),
          EncodeRates(summary.rates),
          std::move(included),
          std::move(listed),
          std::move(lost),
          EncodeTargetUpdates(summary.target_updates)};
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
  DecodeState(body.at(1), report);
  report.sequence = body.at(2).get<std::uint64_t>();
  report.loads = DecodeLoads(body.at(3));
  report.rates = DecodeRates(body.at(4));
  report.target_updates = DecodeTargetUpdates(body.at(5));
  return report;
}

auto DecodeSummary(const Json& body) -> FleetSummary {
  FleetSummary summary;
  DecodeState(body.at(1), summary.sender);
  summary.sequence = body.at(2).get<std::uint64_t>();
  summary.scope = body.at(3).get<bool>() ? FleetSummary::Scope::kFleet
                                         : FleetSummary::Scope::kDataCenter;
  summary.routers = body.at(4).get<int>();
  summary.loads = DecodeLoads(body.at(5));
  summary.rates = DecodeRates(body.at(6));
  const auto& included = body.at(7);
  for (std::size_t i = 0; i + 2 <= included.size(); i += 2) {
    summary.included.emplace_back(included[i].get<std::uint32_t>(),
                                  included[i + 1].get<std::uint64_t>());
  }
  for (const auto& state : body.at(8)) {
    DecodeState(state, summary.listed.emplace_back());
  }
  for (const auto& router : body.at(9)) {
    summary.lost.emplace_back(router.get<std::string>());
  }
  summary.target_updates = DecodeTargetUpdates(body.at(10));
  return summary;
}

auto DecodeMessage(const Json& body) -> std::optional<PeerMessage> {
  const auto kind = body.at(0).get<int>();
  if (kind == kReport && body.size() == kReportMembers) {
    return DecodeReport(body);
  }
  if (kind == kSummary && body.size() == kSummaryMembers) {
    return DecodeSummary(body);
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

auto RouterHash(const RouterId& router) -> std::uint32_t {
  return static_cast<std::uint32_t>(StableHash(router.value()));
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
