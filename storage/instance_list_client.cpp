// HTTP requests and JSON parsing of the instance list.
#include "storage/instance_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;

auto StringMember(const Json& json, const char* name) -> std::string {
  if (!json.contains(name) || !json[name].is_string()) return "";
  return json[name].get<std::string>();
}

auto BoolMember(const Json& json, const char* name) -> bool {
  return json.contains(name) && json[name].is_boolean() &&
         json[name].get<bool>();
}

auto ParseTarget(const Json& json) -> Outcome<TargetInfo> {
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidArgument, "target is not an object"};
  }
  TargetInfo target;
  target.id = TargetId(StringMember(json, "id"));
  target.address = StringMember(json, "address");
  target.data_center = DataCenterId(StringMember(json, "data_center"));
  target.region = RegionId(StringMember(json, "region"));
  target.pool = PoolId(StringMember(json, "pool"));
  target.is_service = StringMember(json, "kind") == "service";
  target.checks_fencing = BoolMember(json, "checks_fencing");
  target.is_leaving = StringMember(json, "state") == "leaving";
  if (json.contains("slots") && json["slots"].is_number_integer()) {
    target.slots = json["slots"].get<int>();
  }
  const auto is_complete = !target.id.is_empty() && !target.address.empty() &&
                           !target.pool.is_empty() && target.slots > 0;
  if (is_complete) return target;
  return Error{ErrorCode::kInvalidArgument,
               "target '" + target.id.value() +
                   "' lacks an id, an address, a pool or a slot"};
}

}  // namespace

auto ParseInstanceList(const std::string& text) -> Outcome<InstanceList> {
  const auto json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("targets") ||
      !json["targets"].is_array()) {
    return Error{ErrorCode::kInvalidArgument,
                 "instance list is not JSON with an array 'targets'"};
  }
  InstanceList list;
  for (const auto& item : json["targets"]) {
    auto target = ParseTarget(item);
    if (!IsOk(target)) return ErrorOf(target);
    list.targets.push_back(std::move(ValueOf(target)));
  }
  for (const auto& item : json.value("routers", Json::array())) {
    const auto address =
        item.is_object() ? StringMember(item, "gossip_address") : "";
    if (!address.empty()) list.gossip_addresses.push_back(address);
  }
  return list;
}

InstanceListClient::InstanceListClient(std::string address,
                                       DataCenterId data_center,
                                       HttpFetch fetch)
    : address_(std::move(address)),
      data_center_(std::move(data_center)),
      fetch_(std::move(fetch)) {}

auto InstanceListClient::ReadIfChanged()
    -> Outcome<std::optional<InstanceList>> {
  auto path = "/v1/instances?data_center=" + data_center_.value();
  if (!version_.empty()) path += "&unless_version=" + version_;
  auto answer = fetch_({"GET", address_, path, "", "", seconds(2)});
  if (!IsOk(answer)) return ErrorOf(answer);
  const auto& response = ValueOf(answer);
  if (response.status == kNotModified) return std::nullopt;
  if (response.status != kOk) {
    return Error{ErrorCode::kUnavailable, "instance list answered status " +
                                              std::to_string(response.status)};
  }
  auto list = ParseInstanceList(response.body);
  if (!IsOk(list)) return ErrorOf(list);
  const auto json = Json::parse(response.body, nullptr, false);
  version_ = StringMember(json, "version");
  return std::optional(std::move(ValueOf(list)));
}

}  // namespace papayaplank
