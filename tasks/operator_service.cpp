// JSON-RPC methods and HTTP paths of the operator service.
#include "tasks/operator_service.h"

#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// JSON-RPC error codes of this service, and one of the standard's
// (kInvalidArgument).
constexpr int kInvalidDocument = -32001;
constexpr int kConflict = -32002;
constexpr int kUnavailable = -32003;
constexpr int kNotFound = -32004;
constexpr int kInvalidArgument = -32602;

// HTTP statuses.
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kNotReady = 503;

auto Ok(const Json& json) -> RpcAnswer { return {true, json.dump(), 0, ""}; }

auto Failure(int code, const std::string& message) -> RpcAnswer {
  return {false, "", code, message};
}

auto Failure(const Error& error) -> RpcAnswer {
  if (error.code == ErrorCode::kConflict) {
    return Failure(kConflict, error.message);
  }
  return Failure(kUnavailable, error.message);
}

auto ErrorsToJson(const std::vector<DocumentError>& errors) -> Json {
  auto list = Json::array();
  for (const auto& error : errors) {
    list.push_back({{"pointer", error.pointer}, {"message", error.message}});
  }
  return list;
}

// The member's value; empty if it is missing or not a string.
auto StringMember(const Json& json, const char* name) -> std::string {
  if (!json.is_object() || !json.contains(name)) return "";
  return json[name].is_string() ? json[name].get<std::string>() : "";
}

// The member's value; 0 if it is missing or not an unsigned number.
auto UnsignedMember(const Json& json, const char* name) -> std::uint64_t {
  if (!json.is_object() || !json.contains(name)) return 0;
  return json[name].is_number_unsigned() ? json[name].get<std::uint64_t>() : 0;
}

auto MemberToJson(const Member& member) -> Json {
  return {{"router", member.id.value()},
          {"state", MemberStateName(member.state)},
          {"caller_address", member.caller_address},
          {"operator_address", member.peer_address},
          {"data_center", member.data_center.value()},
          {"region", member.region.value()},
          {"configuration_version", member.config_version.value()}};
}

auto PoolToJson(const PoolStatus& pool) -> Json {
  return {{"pool", pool.pool.value()},
          {"waiting_interactive", pool.backlog.interactive},
          {"waiting_batch", pool.backlog.batch},
          {"running", pool.running},
          {"virtual_time", pool.virtual_time.value},
          {"owned_targets", pool.owned_targets},
          {"free_slots", pool.free_slots}};
}

auto StatusToJson(const RouterCore& core) -> Json {
  auto members = Json::array();
  for (const auto& member : core.Members()) {
    members.push_back(MemberToJson(member));
  }
  auto pools = Json::array();
  for (const auto& pool : core.Pools()) pools.push_back(PoolToJson(pool));
  return {{"members", std::move(members)},
          {"pools", std::move(pools)},
          {"open_requests", core.open_requests()},
          {"is_stopping", core.is_stopping()}};
}

auto TargetsToJson(const RouterCore& core) -> Json {
  auto targets = Json::array();
  for (const auto& target : core.Targets()) {
    const auto slots = core.SlotLimits(target.id);
    targets.push_back({{"target", target.id.value()},
                       {"address", target.address},
                       {"pool", target.pool.value()},
                       {"data_center", target.data_center.value()},
                       {"owner", core.TargetOwner(target.id).value()},
                       {"is_leaving", target.is_leaving},
                       {"checks_fencing", target.checks_fencing},
                       {"shared_slots", slots.shared},
                       {"headroom_slots", slots.headroom}});
  }
  return {{"targets", std::move(targets)}};
}

}  // namespace

auto OperatorService::Open(const OperatorServiceOptions& options,
                           OperatorServiceDependencies dependencies)
    -> Outcome<std::unique_ptr<OperatorService>> {
  std::unique_ptr<OperatorService> service(
      new OperatorService(options, std::move(dependencies)));
  HttpServiceOptions http;
  http.address = options.address;
  auto opened =
      HttpService::Open(http, [raw = service.get()](const HttpCall& call) {
        return raw->Handle(call);
      });
  if (!IsOk(opened)) return ErrorOf(opened);
  service->http_ = std::move(ValueOf(opened));
  return service;
}

OperatorService::OperatorService(OperatorServiceOptions options,
                                 OperatorServiceDependencies dependencies)
    : options_(std::move(options)), dependencies_(std::move(dependencies)) {
  AddMethods();
}

auto OperatorService::AddMethods() -> void {
  const auto snapshot = [this](const std::string& /*argument*/) {
    return RpcAnswer{true, dependencies_.configuration.Current()->Snapshot(), 0,
                     ""};
  };
  peer_rpc_.AddMethod("snapshot", snapshot);
  operator_rpc_.AddMethod("snapshot", snapshot);
  operator_rpc_.AddMethod("submit", [this](const std::string& argument) {
    return Submit(argument);
  });
  operator_rpc_.AddMethod(
      "check", [this](const std::string& argument) { return Check(argument); });
  operator_rpc_.AddMethod(
      "show", [this](const std::string& argument) { return Show(argument); });
  operator_rpc_.AddMethod("history", [this](const std::string& argument) {
    return History(argument);
  });
  operator_rpc_.AddMethod(
      "status", [this](const std::string& /*argument*/) { return Status(); });
  operator_rpc_.AddMethod(
      "targets", [this](const std::string& /*argument*/) { return Targets(); });
  operator_rpc_.AddMethod("explain", [this](const std::string& argument) {
    return Explain(argument);
  });
}

auto OperatorService::Handle(const HttpCall& call) -> HttpAnswer {
  if (call.path == "/healthz") return {kOk, "text/plain", "ok\n"};
  if (call.path == "/readyz") {
    const auto is_ready = dependencies_.is_ready();
    return {is_ready ? kOk : kNotReady, "text/plain",
            is_ready ? "ready\n" : "not ready\n"};
  }
  const auto found = call.headers.find("authorization");
  const auto given = found == call.headers.end() ? "" : found->second;
  const auto is_operator =
      IsEqualConstantTime(given, "Bearer " + options_.operator_key);
  const auto is_peer =
      IsEqualConstantTime(given, "Bearer " + options_.fleet_key);
  if (!is_operator && !is_peer) {
    return {kUnauthorized, "text/plain",
            "unknown key; send Authorization: Bearer OPERATOR_KEY\n"};
  }
  if (call.path == "/rpc" && is_peer) {
    return {kOk, "application/json", peer_rpc_.Handle(call.body)};
  }
  if (call.path == "/rpc") {
    return {kOk, "application/json", operator_rpc_.Handle(call.body)};
  }
  if (call.path == "/metrics") {
    dependencies_.refresh_metrics();
    return {kOk, "text/plain; version=0.0.4",
            dependencies_.metrics.ToPrometheusText()};
  }
  return {kNotFoundStatus, "text/plain", "no such path\n"};
}

auto OperatorService::Submit(const std::string& argument) -> RpcAnswer {
  const auto json = Json::parse(argument, nullptr, false);
  Submission submission{ConfigVersion(UnsignedMember(json, "base")),
                        StringMember(json, "operation_id"),
                        StringMember(json, "change")};
  if (submission.operation_id.empty()) {
    return Failure(kInvalidArgument, "operation_id is missing");
  }
  auto result = dependencies_.configuration.Submit(submission);
  if (const auto* error = std::get_if<Error>(&result)) return Failure(*error);
  if (const auto* errors = std::get_if<std::vector<DocumentError>>(&result)) {
    return Failure(kInvalidDocument, ErrorsToJson(*errors).dump());
  }
  const auto version = std::get<ConfigVersion>(result);
  LOG(INFO) << "event=change_accepted version=" << version
            << " operation=" << submission.operation_id;
  return Ok({{"version", version.value()}});
}

auto OperatorService::Check(const std::string& argument) -> RpcAnswer {
  const auto json = Json::parse(argument, nullptr, false);
  const auto current = dependencies_.configuration.Current();
  auto result =
      current->Apply(StringMember(json, "change"), current->version());
  if (const auto* errors = std::get_if<std::vector<DocumentError>>(&result)) {
    return Failure(kInvalidDocument, ErrorsToJson(*errors).dump());
  }
  return Ok({{"base", current->version().value()}});
}

auto OperatorService::Show(const std::string& argument) -> RpcAnswer {
  const auto json = Json::parse(argument, nullptr, false);
  const auto current = dependencies_.configuration.Current();
  const auto name = StringMember(json, "name");
  const auto kind = StringMember(json, "kind");
  if (kind == "version") {
    return Ok({{"version", current->version().value()},
               {"templates", current->template_count()},
               {"customers", current->customer_count()}});
  }
  const auto text = kind == "template"
                        ? current->TemplateText(name)
                        : current->CustomerText(CustomerId(name));
  if (text.empty()) {
    return Failure(kNotFound, "there is no " + kind + " '" + name +
                                  "' in version " +
                                  std::to_string(current->version().value()));
  }
  return {true, text, 0, ""};
}

auto OperatorService::History(const std::string& argument) -> RpcAnswer {
  const auto json = Json::parse(argument, nullptr, false);
  auto changes = dependencies_.configuration.History(
      ConfigVersion(UnsignedMember(json, "after")),
      std::max<std::uint64_t>(1, UnsignedMember(json, "limit")));
  if (!IsOk(changes)) return Failure(ErrorOf(changes));
  auto list = Json::array();
  for (const auto& change : ValueOf(changes)) {
    list.push_back({{"version", change.version.value()},
                    {"operation_id", change.operation_id},
                    {"change", Json::parse(change.text, nullptr, false)}});
  }
  return Ok({{"changes", std::move(list)}});
}

auto OperatorService::Status() -> RpcAnswer {
  auto status = dependencies_.core.RunQuery<Json>(StatusToJson);
  const auto current = dependencies_.configuration.Current();
  const auto unconfirmed = std::chrono::duration<double>(
      dependencies_.configuration.time_since_confirmation());
  status["configuration_version"] = current->version().value();
  status["configuration_unconfirmed_seconds"] = unconfirmed.count();
  return Ok(status);
}

auto OperatorService::Targets() -> RpcAnswer {
  return Ok(dependencies_.core.RunQuery<Json>(TargetsToJson));
}

auto OperatorService::Explain(const std::string& argument) -> RpcAnswer {
  const auto json = Json::parse(argument, nullptr, false);
  const CustomerId id(StringMember(json, "customer"));
  const auto customer = dependencies_.configuration.Current()->FindCustomer(id);
  if (!customer) {
    return Failure(kNotFound, "there is no customer '" + id.value() + "'");
  }
  const auto* request_class = MatchClass(
      *customer, StringMember(json, "method"), StringMember(json, "path"),
      StringMember(json, "class_header"));
  Json result = {{"customer", id.value()},
                 {"template", customer->template_name},
                 {"weight", customer->weight.value},
                 {"requests_per_second", customer->limits.requests_per_second},
                 {"burst", customer->limits.burst},
                 {"queued_requests", customer->limits.queued_requests}};
  if (request_class == nullptr) {
    result["class"] = nullptr;
    result["why"] = "no class of the template matches; callers get 404";
  } else {
    result["class"] = request_class->id.value();
    result["why"] = "the first class whose match fits the request";
    result["pool"] = request_class->pool.is_empty()
                         ? "named by the request's model"
                         : request_class->pool.value();
    result["is_interactive"] = request_class->is_interactive;
    result["is_idempotent"] = request_class->is_idempotent;
    result["deadline_ms"] =
        std::chrono::duration_cast<milliseconds>(request_class->deadline)
            .count();
    result["retries"] = request_class->retries;
  }
  const DataCenterId data_center(StringMember(json, "data_center"));
  result["home_routers"] = dependencies_.core.RunQuery<Json>(
      [id, data_center](const RouterCore& core) {
        auto home_routers = Json::array();
        for (const auto& member : core.HomeRouters(id, data_center)) {
          home_routers.push_back(MemberToJson(member));
        }
        return home_routers;
      });
  return Ok(result);
}

auto CallOperatorPort(const std::string& address, const std::string& key,
                      const std::string& method, const std::string& argument,
                      Duration timeout) -> RpcAnswer {
  BlockingHttpClient client;
  std::string failure;
  const RpcSend send = [&](const std::string& request, std::string* answer) {
    auto response = client.Fetch(
        {"POST", address, "/rpc", request, "Bearer " + key, timeout});
    if (!IsOk(response)) {
      failure = ErrorOf(response).message;
      return false;
    }
    if (ValueOf(response).status != kOk) {
      failure = address + " answered status " +
                std::to_string(ValueOf(response).status) + ": " +
                ValueOf(response).body;
      return false;
    }
    *answer = ValueOf(response).body;
    return true;
  };
  auto answer = CallRpc(send, method, argument);
  if (!failure.empty()) answer.error = failure;
  return answer;
}

}  // namespace papayaplank
