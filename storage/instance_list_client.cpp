// HTTP requests and JSON parsing of the instance list.
#include "storage/instance_list_client.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
// More than any target has; a sum over a fleet still fits into an integer.
constexpr std::int64_t kMaxSlots = 100000;
constexpr std::size_t kMaxNameBytes = 200;

// Whether the text ends with a colon and a port from 1 to 65535.
auto HasPort(const std::string& address) -> bool {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::uint16_t port = 0;
  const auto* end = address.data() + address.size();
  const auto [rest, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  return error == std::errc() && rest == end && port != 0;
}

// Names go into headers, log lines and messages to peers.
auto IsPrintable(const std::string& text) -> bool {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte <= kSpace || byte == kDelete;
         });
}

// Zero if the number is missing or out of range.
auto ReadSlots(const Json& json) -> int {
  if (!json.contains("slots") || !json["slots"].is_number_integer()) return 0;
  // A number beyond the signed range counts as negative.
  const auto slots = json["slots"].get<std::int64_t>();
  return slots > 0 && slots <= kMaxSlots ? static_cast<int>(slots) : 0;
}

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
  if (json.contains("slots")) target.slots = ReadSlots(json);
  const auto is_complete = !target.id.is_empty() && HasPort(target.address) &&
                           !target.pool.is_empty() && target.slots > 0;
  const auto has_names = IsPrintable(target.id.value()) &&
                         IsPrintable(target.address) &&
                         IsPrintable(target.pool.value()) &&
                         IsPrintable(target.data_center.value()) &&
                         IsPrintable(target.region.value());
  if (is_complete && has_names) return target;
  return Error{ErrorCode::kInvalidArgument,
               "target '" + target.id.value().substr(0, kMaxNameBytes) +
                   "' needs an id, an address with a port, a pool and 1 to "
                   "100000 slots, and names of at most 200 bytes without "
                   "spaces"};
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
    if (IsOk(target)) {
      list.targets.push_back(std::move(ValueOf(target)));
    } else {
      list.unusable.push_back(ErrorOf(target).message);
    }
  }
  for (const auto& item : json.value("routers", Json::array())) {
    const auto address =
        item.is_object() ? StringMember(item, "gossip_address") : "";
    if (HasPort(address) && IsPrintable(address)) {
      list.gossip_addresses.push_back(address);
    }
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
