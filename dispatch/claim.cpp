// Decisions on claim rows, and their JSON form.
#include "dispatch/claim.h"

#include <nlohmann/json.hpp>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

auto StateName(ClaimState state) -> std::string {
  switch (state) {
    case ClaimState::kClaimed:
      return "claimed";
    case ClaimState::kReleased:
      return "released";
    case ClaimState::kDone:
      return "done";
  }
  return "claimed";
}

auto StateFromName(const std::string& name) -> std::optional<ClaimState> {
  for (const auto state :
       {ClaimState::kClaimed, ClaimState::kReleased, ClaimState::kDone}) {
    if (StateName(state) == name) return state;
  }
  return std::nullopt;
}

}  // namespace

auto DecideClaim(const std::optional<ClaimRow>& row,
                 const std::string& operation_id) -> ClaimDecision {
  if (!row) return ClaimDecision::kWrite;
  if (row->state == ClaimState::kDone) return ClaimDecision::kReplay;
  if (row->state == ClaimState::kReleased) return ClaimDecision::kWrite;
  if (row->operation_id == operation_id) return ClaimDecision::kSend;
  return ClaimDecision::kInProgress;
}

auto ClaimRowToText(const ClaimRow& row) -> std::string {
  const Json json = {{"state", StateName(row.state)},
                     {"operation_id", row.operation_id},
                     {"status", row.status},
                     {"body", row.body}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ClaimRowFromText(const std::string& text) -> std::optional<ClaimRow> {
  const auto json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto has = [&json](const char* name, Json::value_t type) {
    return json.contains(name) && json[name].type() == type;
  };
  if (!has("state", Json::value_t::string)) return std::nullopt;
  if (!has("operation_id", Json::value_t::string)) return std::nullopt;
  const auto state = StateFromName(json["state"].get<std::string>());
  if (!state) return std::nullopt;
  ClaimRow row{*state, json["operation_id"].get<std::string>(), 0, ""};
  if (json.contains("status") && json["status"].is_number_integer()) {
    row.status = json["status"].get<int>();
  }
  if (has("body", Json::value_t::string)) {
    row.body = json["body"].get<std::string>();
  }
  return row;
}

}  // namespace papayaplank
