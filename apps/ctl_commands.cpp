// Commands that call the operator port of one router, and `hash-key`, which
// calls none.
#include "apps/ctl_commands.h"

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "base/base.h"
#include "tasks/operator_service.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

// JSON-RPC error codes of the operator port.
constexpr int kInvalidDocumentError = -32001;
constexpr int kConflictError = -32002;
constexpr int kNotFoundError = -32004;
constexpr int kInvalidArgumentError = -32602;
constexpr std::size_t kOperationIdBytes = 12;
constexpr Duration kCallTimeout = seconds(20);
constexpr Duration kInForcePollInterval = milliseconds(200);

auto CallRouter(const CtlContext& context, const std::string& method,
                const Json& argument) -> RpcAnswer {
  return CallOperatorPort(context.router, context.operator_key, method,
                          argument.dump(), kCallTimeout);
}

auto ExitCodeFor(const RpcAnswer& answer) -> int {
  switch (answer.error_code) {
    case kInvalidDocumentError:
    case kInvalidArgumentError:
      return kExitInvalidInput;
    case kConflictError:
      return kExitConflict;
    case kNotFoundError:
      return kExitNotFound;
    default:
      return kExitUnavailable;
  }
}

auto PrintDocumentErrors(const Json& errors) -> void {
  for (const auto& error : errors) {
    const auto pointer = error.value("pointer", "");
    std::cerr << (pointer.empty() ? "document" : pointer) << ' '
              << error.value("message", "") << '\n';
  }
}

auto ReportError(const CtlContext& context, const RpcAnswer& answer) -> int {
  const auto errors = Json::parse(answer.error, nullptr, false);
  if (context.is_json) {
    const Json output = {
        {"error", errors.is_discarded() ? Json(answer.error) : errors}};
    std::cout << output.dump(2) << '\n';
  } else if (answer.error_code == kInvalidDocumentError && errors.is_array()) {
    PrintDocumentErrors(errors);
  } else {
    std::cerr << answer.error << '\n';
  }
  return ExitCodeFor(answer);
}

auto ReadDocument(const std::string& file) -> std::optional<std::string> {
  if (file == "-") {
    std::ostringstream text;
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file);
  if (!in) {
    std::cerr << "cannot read the file '" << file
              << "'; give --file=PATH or --file=- for standard input\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Whether all live routers have at least `version` in force, as seen by the
// called router; false if it does not answer.
auto IsInForceEverywhere(const CtlContext& context, std::uint64_t version)
    -> bool {
  const auto answer = CallRouter(context, "status", Json::object());
  if (!answer.is_ok) return false;
  const auto status = Json::parse(answer.result, nullptr, false);
  for (const auto& member : status.value("members", Json::array())) {
    if (member.value("configuration_version", std::uint64_t{0}) < version) {
      return false;
    }
  }
  return true;
}

auto WaitUntilInForce(const CtlContext& context, std::uint64_t version,
                      double wait_seconds) -> bool {
  const auto deadline =
      MonotonicClock::now() + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(wait_seconds));
  while (!IsInForceEverywhere(context, version)) {
    if (MonotonicClock::now() >= deadline) return false;
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  return true;
}

// Prints `+` for a new entry, `=` for an unchanged one, or `~` and its JSON
// patch. Returns false if the router did not answer.
auto PrintEntryDiff(const CtlContext& context, const std::string& kind,
                    const Json& entry) -> bool {
  const auto name = entry.value("name", "");
  const auto answer =
      CallRouter(context, "show", {{"kind", kind}, {"name", name}});
  if (!answer.is_ok && answer.error_code != kNotFoundError) {
    std::cerr << answer.error << '\n';
    return false;
  }
  if (!answer.is_ok) {
    std::cout << "+ " << kind << ' ' << name << '\n';
    return true;
  }
  const auto patch =
      Json::diff(Json::parse(answer.result, nullptr, false), entry);
  std::cout << (patch.empty() ? "= " : "~ ") << kind << ' ' << name << '\n';
  for (const auto& step : patch) std::cout << "    " << step.dump() << '\n';
  return true;
}

}  // namespace

auto CheckChange(const CtlContext& context, const ChangeOptions& options)
    -> int {
  const auto text = ReadDocument(options.file);
  if (!text) return kExitInvalidInput;
  const auto answer = CallRouter(context, "check", {{"change", *text}});
  if (!answer.is_ok) return ReportError(context, answer);
  const auto base = Json::parse(answer.result)["base"];
  if (context.is_json) {
    std::cout << answer.result << '\n';
  } else {
    std::cout << "the change is valid on version " << base << '\n';
  }
  return kExitOk;
}

auto SubmitChange(const CtlContext& context, const ChangeOptions& options)
    -> int {
  if (options.base_version < 0) {
    std::cerr << "--base is missing; give the version that the change is "
                 "based on (papayaplankctl show version)\n";
    return kExitInvalidInput;
  }
  const auto text = ReadDocument(options.file);
  if (!text) return kExitInvalidInput;
  const auto operation = options.operation_id.empty()
                             ? RandomHex(kOperationIdBytes)
                             : options.operation_id;
  const auto answer =
      CallRouter(context, "submit",
                 {{"base", static_cast<std::uint64_t>(options.base_version)},
                  {"operation_id", operation},
                  {"change", *text}});
  if (!answer.is_ok) {
    std::cerr << "operation id " << operation
              << "; give it as --operation_id to retry safely\n";
    return ReportError(context, answer);
  }
  const auto version =
      Json::parse(answer.result)["version"].get<std::uint64_t>();
  std::cout << (context.is_json
                    ? answer.result
                    : "accepted as version " + std::to_string(version))
            << '\n';
  if (options.wait_seconds <= 0) return kExitOk;
  if (WaitUntilInForce(context, version, options.wait_seconds)) {
    if (!context.is_json) std::cout << "in force on all live routers\n";
    return kExitOk;
  }
  std::cerr << "accepted, but not yet in force on all live routers; see "
               "papayaplankctl status\n";
  return kExitNotInForce;
}

auto DiffChange(const CtlContext& context, const ChangeOptions& options)
    -> int {
  const auto text = ReadDocument(options.file);
  if (!text) return kExitInvalidInput;
  const auto change = Json::parse(*text, nullptr, false);
  if (!change.is_object()) {
    std::cerr << "the document is not a JSON object\n";
    return kExitInvalidInput;
  }
  for (const auto& entry : change.value("templates", Json::array())) {
    if (!PrintEntryDiff(context, "template", entry)) return kExitUnavailable;
  }
  for (const auto& entry : change.value("customers", Json::array())) {
    if (!PrintEntryDiff(context, "customer", entry)) return kExitUnavailable;
  }
  for (const auto* kind : {"template", "customer"}) {
    const auto list_name = "remove_" + std::string(kind) + "s";
    for (const auto& name : change.value(list_name, Json::array())) {
      std::cout << "- " << kind << ' ' << name.get<std::string>() << '\n';
    }
  }
  return kExitOk;
}

auto Show(const CtlContext& context) -> int {
  const auto& arguments = context.arguments;
  const auto is_version = arguments.size() == 1 && arguments[0] == "version";
  const auto is_entry = arguments.size() == 2 && (arguments[0] == "template" ||
                                                  arguments[0] == "customer");
  if (!is_version && !is_entry) {
    std::cerr << "usage: papayaplankctl show version | template NAME | "
                 "customer NAME\n";
    return kExitInvalidInput;
  }
  const auto answer = CallRouter(
      context, "show",
      {{"kind", arguments[0]}, {"name", is_entry ? arguments[1] : ""}});
  if (!answer.is_ok) return ReportError(context, answer);
  std::cout << Json::parse(answer.result).dump(2) << '\n';
  return kExitOk;
}

auto History(const CtlContext& context) -> int {
  std::uint64_t after = 0;
  if (!context.arguments.empty()) {
    std::istringstream in(context.arguments[0]);
    if (!(in >> after)) {
      std::cerr << "'" << context.arguments[0] << "' is not a version number\n";
      return kExitInvalidInput;
    }
  }
  constexpr int kMaxHistoryEntries = 50;
  const auto answer = CallRouter(
      context, "history", {{"after", after}, {"limit", kMaxHistoryEntries}});
  if (!answer.is_ok) return ReportError(context, answer);
  const auto json = Json::parse(answer.result);
  if (context.is_json) {
    std::cout << json.dump(2) << '\n';
    return kExitOk;
  }
  for (const auto& change : json["changes"]) {
    std::cout << "version " << change["version"] << "  operation "
              << change["operation_id"].get<std::string>() << '\n';
    for (const auto& [member, value] : change["change"].items()) {
      if (!value.is_array()) continue;
      for (const auto& entry : value) {
        const auto name =
            entry.is_object() ? entry.value("name", "") : entry.dump();
        std::cout << "    " << member << ' ' << name << '\n';
      }
    }
  }
  return kExitOk;
}

auto Status(const CtlContext& context) -> int {
  const auto answer = CallRouter(context, "status", Json::object());
  if (!answer.is_ok) return ReportError(context, answer);
  const auto status = Json::parse(answer.result);
  if (context.is_json) {
    std::cout << status.dump(2) << '\n';
    return kExitOk;
  }
  std::cout << "configuration version " << status["configuration_version"]
            << ", last confirmed " << std::fixed << std::setprecision(1)
            << status["configuration_unconfirmed_seconds"].get<double>()
            << " s ago, " << status["open_requests"] << " open requests\n\n"
            << std::left << std::setw(40) << "ROUTER" << std::setw(11)
            << "STATE" << std::setw(12) << "DATACENTRE"
            << "VERSION\n";
  for (const auto& member : status["members"]) {
    std::cout << std::setw(40) << member["router"].get<std::string>()
              << std::setw(11) << member["state"].get<std::string>()
              << std::setw(12) << member["data_center"].get<std::string>()
              << member["configuration_version"] << '\n';
  }
  std::cout << '\n'
            << std::setw(20) << "POOL" << std::setw(13) << "INTERACTIVE"
            << std::setw(8) << "BATCH" << std::setw(9) << "RUNNING"
            << std::setw(7) << "OWNED" << std::setw(6) << "FREE"
            << "VIRTUAL TIME\n";
  for (const auto& pool : status["pools"]) {
    std::cout << std::setw(20) << pool["pool"].get<std::string>()
              << std::setw(13) << pool["waiting_interactive"].get<int>()
              << std::setw(8) << pool["waiting_batch"].get<int>()
              << std::setw(9) << pool["running"].get<int>() << std::setw(7)
              << pool["owned_targets"].get<int>() << std::setw(6)
              << pool["free_slots"].get<int>()
              << pool["virtual_time"].get<double>() << '\n';
  }
  return kExitOk;
}

auto ListTargets(const CtlContext& context) -> int {
  const auto answer = CallRouter(context, "targets", Json::object());
  if (!answer.is_ok) return ReportError(context, answer);
  const auto json = Json::parse(answer.result);
  if (context.is_json) {
    std::cout << json.dump(2) << '\n';
    return kExitOk;
  }
  std::cout << std::left << std::setw(16) << "TARGET" << std::setw(24)
            << "ADDRESS" << std::setw(16) << "POOL" << std::setw(12)
            << "DATACENTRE" << std::setw(9) << "LEAVING"
            << "OWNER\n";
  for (const auto& target : json["targets"]) {
    std::cout << std::setw(16) << target["target"].get<std::string>()
              << std::setw(24) << target["address"].get<std::string>()
              << std::setw(16) << target["pool"].get<std::string>()
              << std::setw(12) << target["data_center"].get<std::string>()
              << std::setw(9)
              << (target["is_leaving"].get<bool>() ? "yes" : "no")
              << target["owner"].get<std::string>() << '\n';
  }
  return kExitOk;
}

auto ExplainRouting(const CtlContext& context, const RoutingQuery& query)
    -> int {
  const auto answer = CallRouter(context, "explain",
                                 {{"customer", query.customer},
                                  {"method", query.method},
                                  {"path", query.path},
                                  {"class_header", query.class_header},
                                  {"data_center", query.data_center}});
  if (!answer.is_ok) return ReportError(context, answer);
  const auto json = Json::parse(answer.result);
  if (context.is_json) {
    std::cout << json.dump(2) << '\n';
    return kExitOk;
  }
  for (const auto& [name, value] : json.items()) {
    if (name == "home_routers") continue;
    std::cout << std::left << std::setw(22) << name
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << '\n';
  }
  for (const auto& home : json["home_routers"]) {
    std::cout << std::setw(22) << "home router"
              << home["caller_address"].get<std::string>() << " in "
              << home["data_center"].get<std::string>() << '\n';
  }
  return kExitOk;
}

auto HashKey(const CtlContext& context) -> int {
  if (context.arguments.size() != 1) {
    std::cerr << "usage: papayaplankctl hash-key KEY\n";
    return kExitInvalidInput;
  }
  std::cout << Sha256Hex(context.arguments[0]) << '\n';
  return kExitOk;
}

}  // namespace papayaplank
