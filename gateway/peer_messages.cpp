// Encodes messages as CBOR arrays.
#include "gateway/peer_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/cbor_structure.h"
#include "gateway/message_numbers.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// First member of a message. A kind gets a new number when its layout changes.
constexpr int kReport = 32;
constexpr int kQuery = 12;
constexpr int kReply = 13;
constexpr int kSnapshot = 14;
constexpr int kSummary = 41;
constexpr int kPartEvidence = 51;
constexpr int kStatementReport = 61;
constexpr int kPermitRequest = 62;
constexpr int kPermitGrant = 63;
constexpr std::size_t kReportMembers = 6;
constexpr std::size_t kSummaryMembers = 11;
constexpr std::size_t kStateMembers = 7;

// Bits of the flags of a router state.
constexpr unsigned kLeavingBit = 1;
constexpr unsigned kDivertsBit = 2;
constexpr unsigned kReadyBit = 4;
constexpr unsigned kContinuousBit = 8;
constexpr unsigned kFailingBit = 16;
// Earlier versions ignore it, and the bits above, which are the era of the
// store.
constexpr unsigned kPermitsBit = 32;
constexpr unsigned kEraShift = 8;
// Cores are sent in hundredths.
constexpr double kCoreSteps = 100;

auto EncodeState(const RouterState& state) -> Json {
  const std::uint64_t bits = (state.is_leaving ? kLeavingBit : 0) |
                             (state.diverts_callers ? kDivertsBit : 0) |
                             (state.is_ready ? kReadyBit : 0) |
                             (state.is_store_continuous ? kContinuousBit : 0) |
                             (state.is_store_failing ? kFailingBit : 0) |
                             (state.issues_permits ? kPermitsBit : 0);
  const auto flags = bits | state.store_era.value() << kEraShift;
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
  const auto flags = ReadNumber<std::uint64_t>(json.at(5));
  state.started_unix_ms = ReadNumber<std::int64_t>(json.at(0));
  state.peer_address = json.at(1).get<std::string>();
  state.caller_address = json.at(2).get<std::string>();
  state.data_center = DataCenterId(json.at(3).get<std::string>());
  state.cores = ReadNumber<double>(json.at(4)) / kCoreSteps;
  state.is_leaving = (flags & kLeavingBit) != 0;
  state.diverts_callers = (flags & kDivertsBit) != 0;
  state.is_ready = (flags & kReadyBit) != 0;
  state.is_store_continuous = (flags & kContinuousBit) != 0;
  state.is_store_failing = (flags & kFailingBit) != 0;
  state.issues_permits = (flags & kPermitsBit) != 0;
  state.config_version = ReadNumber<std::uint64_t>(json.at(6));
  state.store_era = StoreEra(flags >> kEraShift);
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
    const LoadShare share{ReadNumber<double>(json[i + 1]),
                          ReadNumber<int>(json[i + 2]),
                          ReadNumber<double>(json[i + 3])};
    if (share.requests < 0) {
      throw Json::other_error::create(0, "a load is negative", &json);
    }
    loads.emplace_back(ReadNumber<std::uint32_t>(json[i]), share);
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
    rates[CustomerId(rate.at(0).get<std::string>())] = CustomerRate{
        ReadNumber<double>(rate.at(1)), ReadNumber<double>(rate.at(2))};
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
    // Earlier versions read the first elements only.
    if (row.cold_left > Duration{}) {
      all.back().push_back(WriteDuration(row.cold_left));
    }
  }
  return all;
}

auto DecodeTargetUpdates(const Json& json) -> std::vector<TargetUpdate> {
  std::vector<TargetUpdate> updates;
  for (const auto& entry : json) {
    TargetUpdate update;
    auto& row = update.row;
    update.version = ReadNumber<std::uint64_t>(entry.at(0));
    update.is_gone = entry.at(1).get<bool>();
    row.id = TargetId(entry.at(2).get<std::string>());
    row.address = entry.at(3).get<std::string>();
    row.pool = PoolId(entry.at(4).get<std::string>());
    row.data_center = DataCenterId(entry.at(5).get<std::string>());
    row.slots = ReadNumber<int>(entry.at(6));
    row.is_draining = entry.at(7).get<bool>();
    row.started_unix_ms = ReadNumber<std::int64_t>(entry.at(8));
    row.reports = ReadNumber<std::int64_t>(entry.at(9));
    if (entry.size() > 10) row.cold_left = ReadDuration(entry.at(10));
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

// Ages are encoded in milliseconds. A negative one is rejected.
auto ToJson(const PartEvidence& evidence) -> Json {
  const auto to_ms = [](Duration age) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  };
  auto records = Json::array();
  for (const auto& record : evidence.records) {
    auto crashes = Json::array();
    for (const auto& crash : record.crashes) {
      crashes.push_back(crash.process);
      crashes.push_back(to_ms(crash.age));
    }
    Json sound;
    if (record.sound) sound = {record.sound->id, to_ms(record.sound->age)};
    records.push_back({record.part, record.is_quarantined, std::move(crashes),
                       std::move(sound)});
  }
  return {kPartEvidence, std::move(records)};
}

auto DecodePartEvidence(const Json& body) -> PartEvidence {
  const auto read_age = [](const Json& json) -> Duration {
    return milliseconds(ReadNumber<std::uint32_t>(json));
  };
  PartEvidence evidence;
  for (const auto& entry : body.at(1)) {
    auto& record = evidence.records.emplace_back();
    record.part = ReadNumber<PartId>(entry.at(0));
    record.is_quarantined = entry.at(1).get<bool>();
    const auto& crashes = entry.at(2);
    for (std::size_t i = 0; i + 2 <= crashes.size(); i += 2) {
      record.crashes.push_back(
          {ReadNumber<std::uint64_t>(crashes[i]), read_age(crashes[i + 1])});
    }
    const auto& sound = entry.at(3);
    if (sound.is_null()) continue;
    record.sound = PartRecord::SoundRun{ReadNumber<std::uint64_t>(sound.at(0)),
                                        read_age(sound.at(1))};
  }
  return evidence;
}

// Rates are encoded in thousandths; a limit below that is one of zero. Ages are
// encoded in milliseconds.
constexpr double kRateSteps = 1000;
constexpr std::size_t kRecordMembers = 5;
constexpr std::size_t kColdMembers = 5;

auto AppendLimitRecord(Json& to, const TargetLimitRecord& record) -> void {
  to.push_back(record.target);
  to.push_back(record.id);
  to.push_back(record.process.value());
  to.push_back(record.limit
                   ? Json(Rounded(record.limit->per_second * kRateSteps))
                   : Json());
  to.push_back(WriteDuration(record.age));
}

auto ReadLimitRecord(const Json& json, std::size_t at) -> TargetLimitRecord {
  TargetLimitRecord record;
  record.target = ReadNumber<std::uint32_t>(json.at(at));
  record.id = ReadNumber<std::uint32_t>(json.at(at + 1));
  record.process = ProcessStart(ReadNumber<std::int64_t>(json.at(at + 2)));
  if (const auto& limit = json.at(at + 3); !limit.is_null()) {
    record.limit = RequestRate{ReadNumber<double>(limit) / kRateSteps};
  }
  record.age = ReadDuration(json.at(at + 4));
  return record;
}

auto EncodeEvacuations(const std::vector<EvacuationRecord>& records) -> Json {
  auto all = Json::array();
  for (const auto& record : records) {
    all.push_back(record.data_center.value());
    all.push_back(record.version);
    all.push_back(record.is_evacuated);
  }
  return all;
}

auto DecodeEvacuations(const Json& json) -> std::vector<EvacuationRecord> {
  constexpr std::size_t kMembers = 3;
  std::vector<EvacuationRecord> records;
  for (std::size_t i = 0; i + kMembers <= json.size(); i += kMembers) {
    records.push_back({DataCenterId(json[i].get<std::string>()),
                       ReadNumber<std::uint64_t>(json[i + 1]),
                       json[i + 2].get<bool>()});
  }
  return records;
}

auto AppendColdRecord(Json& to, const ColdRecord& record) -> void {
  to.push_back(record.target);
  to.push_back(record.process.value());
  to.push_back(static_cast<int>(record.cause));
  to.push_back(WriteDuration(record.age));
  to.push_back(WriteDuration(record.left));
}

// Nothing for a cause that a later version may know.
auto ReadColdRecord(const Json& json, std::size_t at)
    -> std::optional<ColdRecord> {
  constexpr auto kLastCause = static_cast<int>(ColdCause::kReturned);
  const auto cause = ReadNumber<int>(json.at(at + 2));
  if (cause < 0 || cause > kLastCause) return std::nullopt;
  return ColdRecord{ReadNumber<std::uint32_t>(json.at(at)),
                    ProcessStart(ReadNumber<std::int64_t>(json.at(at + 1))),
                    static_cast<ColdCause>(cause),
                    ReadDuration(json.at(at + 3)),
                    ReadDuration(json.at(at + 4))};
}

auto ToJson(const StatementReport& report) -> Json {
  auto limits = Json::array();
  for (const auto& record : report.limits) AppendLimitRecord(limits, record);
  auto departures = Json::array();
  for (const auto& record : report.departures) {
    departures.push_back(record.target);
    departures.push_back(record.process.value());
  }
  auto pauses = Json::array();
  for (const auto& record : report.pauses) {
    pauses.push_back(record.target);
    pauses.push_back(record.process.value());
    pauses.push_back(WriteDuration(record.left));
  }
  auto cold = Json::array();
  for (const auto& record : report.cold) AppendColdRecord(cold, record);
  // Earlier versions read the first elements only.
  return {kStatementReport,        std::move(limits),
          std::move(departures),   std::move(pauses),
          std::move(cold),         EncodeEvacuations(report.evacuations),
          report.store_era.value()};
}

auto DecodeCold(const Json& json) -> std::vector<ColdRecord> {
  std::vector<ColdRecord> records;
  for (std::size_t i = 0; i + kColdMembers <= json.size(); i += kColdMembers) {
    if (auto record = ReadColdRecord(json, i)) records.push_back(*record);
  }
  return records;
}

auto DecodeStatementReport(const Json& body) -> StatementReport {
  StatementReport report;
  const auto& limits = body.at(1);
  for (std::size_t i = 0; i + kRecordMembers <= limits.size();
       i += kRecordMembers) {
    report.limits.push_back(ReadLimitRecord(limits, i));
  }
  if (body.size() < 4) return report;  // Of an earlier version.
  const auto& departures = body.at(2);
  for (std::size_t i = 0; i + 2 <= departures.size(); i += 2) {
    report.departures.push_back(
        {ReadNumber<std::uint32_t>(departures[i]),
         ProcessStart(ReadNumber<std::int64_t>(departures[i + 1]))});
  }
  const auto& pauses = body.at(3);
  for (std::size_t i = 0; i + 3 <= pauses.size(); i += 3) {
    report.pauses.push_back(
        {ReadNumber<std::uint32_t>(pauses[i]),
         ProcessStart(ReadNumber<std::int64_t>(pauses[i + 1])),
         ReadDuration(pauses[i + 2])});
  }
  constexpr std::size_t kCold = 4;
  constexpr std::size_t kEvacuations = 5;
  constexpr std::size_t kEra = 6;
  if (body.size() > kCold) report.cold = DecodeCold(body.at(kCold));
  if (body.size() > kEvacuations) {
    report.evacuations = DecodeEvacuations(body.at(kEvacuations));
  }
  if (body.size() > kEra) {
    report.store_era = StoreEra(ReadNumber<std::uint64_t>(body.at(kEra)));
  }
  return report;
}

auto ToJson(const PermitRequest& request) -> Json {
  Json body = {kPermitRequest, request.sender, request.nonce.value(),
               request.permit_class == PermitClass::kOverShare};
  AppendLimitRecord(body, request.record);
  // Earlier versions read the first elements only.
  if (request.cold) AppendColdRecord(body, *request.cold);
  return body;
}

auto DecodePermitRequest(const Json& body) -> PermitRequest {
  constexpr std::size_t kCold = 4 + kRecordMembers;
  std::optional<ColdRecord> cold;
  if (body.size() >= kCold + kColdMembers) cold = ReadColdRecord(body, kCold);
  return {body.at(1).get<std::string>(),
          PermitNonce(ReadNumber<std::uint32_t>(body.at(2))),
          body.at(3).get<bool>() ? PermitClass::kOverShare
                                 : PermitClass::kWithinShare,
          ReadLimitRecord(body, 4), cold};
}

auto ToJson(const PermitGrant& grant) -> Json {
  Json body = {kPermitGrant, grant.nonce.value(), grant.is_granted,
               WriteDuration(grant.wait)};
  AppendLimitRecord(body, grant.record);
  return body;
}

auto DecodePermitGrant(const Json& body) -> PermitGrant {
  return {PermitNonce(ReadNumber<std::uint32_t>(body.at(1))),
          body.at(2).get<bool>(), ReadDuration(body.at(3)),
          ReadLimitRecord(body, 4)};
}

auto ToJson(const FreshnessQuery& query) -> Json {
  return {kQuery, query.nonce};
}

// The age is encoded in microseconds. Decoding rejects one below zero, which
// would confirm keys for the future, and one above an hour, which confirms
// none.
auto ToJson(const FreshnessReply& reply) -> Json {
  return {kReply, reply.nonce, reply.config_version, reply.age.count()};
}

auto ToJson(const PeerSnapshot& snapshot) -> Json {
  // Earlier versions read the first elements only.
  return {kSnapshot, snapshot.configuration,
          EncodeTargetUpdates(snapshot.targets),
          EncodeEvacuations(snapshot.evacuations), snapshot.store_era.value()};
}

auto DecodeReport(const Json& body) -> PeerReport {
  PeerReport report;
  DecodeState(body.at(1), report);
  report.sequence = ReadNumber<std::uint64_t>(body.at(2));
  report.loads = DecodeLoads(body.at(3));
  report.rates = DecodeRates(body.at(4));
  report.target_updates = DecodeTargetUpdates(body.at(5));
  return report;
}

auto DecodeSummary(const Json& body) -> FleetSummary {
  FleetSummary summary;
  DecodeState(body.at(1), summary.sender);
  summary.sequence = ReadNumber<std::uint64_t>(body.at(2));
  summary.scope = body.at(3).get<bool>() ? FleetSummary::Scope::kFleet
                                         : FleetSummary::Scope::kDataCenter;
  summary.routers = ReadNumber<int>(body.at(4));
  summary.loads = DecodeLoads(body.at(5));
  summary.rates = DecodeRates(body.at(6));
  const auto& included = body.at(7);
  for (std::size_t i = 0; i + 2 <= included.size(); i += 2) {
    summary.included.emplace_back(ReadNumber<std::uint32_t>(included[i]),
                                  ReadNumber<std::uint64_t>(included[i + 1]));
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
  const auto kind = ReadNumber<int>(body.at(0));
  if (kind == kReport && body.size() == kReportMembers) {
    return DecodeReport(body);
  }
  if (kind == kSummary && body.size() == kSummaryMembers) {
    return DecodeSummary(body);
  }
  if (kind == kPartEvidence) return DecodePartEvidence(body);
  if (kind == kStatementReport) return DecodeStatementReport(body);
  if (kind == kPermitRequest) return DecodePermitRequest(body);
  if (kind == kPermitGrant) return DecodePermitGrant(body);
  if (kind == kQuery) {
    return FreshnessQuery{ReadNumber<std::uint64_t>(body.at(1))};
  }
  if (kind == kReply) {
    const Duration age(ReadNumber<std::uint32_t>(body.at(3)));
    return FreshnessReply{ReadNumber<std::uint64_t>(body.at(1)),
                          ReadNumber<std::uint64_t>(body.at(2)), age};
  }
  if (kind == kSnapshot) {
    PeerSnapshot snapshot{
        body.at(1).get<std::string>(), DecodeTargetUpdates(body.at(2)), {}, {}};
    if (body.size() > 3) snapshot.evacuations = DecodeEvacuations(body.at(3));
    if (body.size() > 4) {
      snapshot.store_era = StoreEra(ReadNumber<std::uint64_t>(body.at(4)));
    }
    return snapshot;
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
  if (!IsBoundedCbor(bytes)) return std::nullopt;
  // The library throws if a member is missing or has the wrong type, and, even
  // if told not to throw, if a stated length is beyond the memory.
  try {
    const auto body = Json::from_cbor(bytes, true, false);
    if (!body.is_array() || body.empty()) return std::nullopt;
    return DecodeMessage(body);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaplank
