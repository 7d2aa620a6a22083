// Keeps rows, objects and the instance list in memory, under one lock. A
// dropped answer is dropped after its write has taken effect.
#include "standins/platform_standin.h"

#include <thread>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kNotModified = 304;
constexpr int kServiceUnavailable = 503;
constexpr unsigned kThreads = 8;
constexpr std::string_view kObjectPathPrefix = "/v1/objects/";

auto JsonAnswer(const Json& json, int status = kOk) -> HttpAnswer {
  return {status, "application/json", json.dump()};
}

}  // namespace

auto PlatformStandin::Open(const std::string& address,
                           const std::string& instances)
    -> Outcome<std::unique_ptr<PlatformStandin>> {
  std::unique_ptr<PlatformStandin> platform(new PlatformStandin());
  platform->instances_ = instances;
  HttpServiceOptions options;
  options.address = address;
  options.threads = kThreads;
  auto opened =
      HttpService::Open(options, [raw = platform.get()](const HttpCall& call) {
        return raw->Handle(call);
      });
  if (!IsOk(opened)) return ErrorOf(opened);
  platform->http_ = std::move(ValueOf(opened));
  return platform;
}

auto PlatformStandin::Handle(const HttpCall& call) -> HttpAnswer {
  if (call.path.rfind("/admin/", 0) == 0) return HandleAdmin(call);
  const auto fault = faults_.NextFault();
  std::this_thread::sleep_for(milliseconds(fault.delay_ms));
  if (fault.is_down) return {kServiceUnavailable, "text/plain", "down\n"};
  HttpAnswer answer{kNotFound, "text/plain", "no such path\n"};
  {
    const std::lock_guard lock(mutex_);
    if (call.path == "/v1/read") answer = HandleRead(call);
    if (call.path == "/v1/transact") answer = HandleTransact(call);
    if (call.path == "/v1/instances") answer = HandleInstances(call);
    if (call.path.rfind(kObjectPathPrefix, 0) == 0) {
      answer = HandleObjects(call);
    }
  }
  // A status of 0 makes the server close the connection.
  if (fault.drops_answer) return {0, "", ""};
  return answer;
}

auto PlatformStandin::HandleAdmin(const HttpCall& call) -> HttpAnswer {
  if (call.path == "/admin/fault") {
    const auto is_set = faults_.Set(call.body);
    return {is_set ? kOk : kBadRequest, "text/plain", "\n"};
  }
  const std::lock_guard lock(mutex_);
  if (call.path == "/admin/instances") {
    instances_ = call.body;
    ++instances_version_;
    return {kOk, "text/plain", "\n"};
  }
  if (call.path == "/admin/counts") {
    return JsonAnswer({{"reads", reads_}, {"writes", writes_}});
  }
  return {kNotFound, "text/plain", "no such path\n"};
}

auto PlatformStandin::HandleRead(const HttpCall& call) -> HttpAnswer {
  ++reads_;
  const auto json = Json::parse(call.body, nullptr, false);
  if (!json.is_object()) return {kBadRequest, "text/plain", "bad body\n"};
  auto rows = Json::array();
  for (const auto& key : json.value("keys", Json::array())) {
    const auto found = rows_.find(key.get<std::string>());
    if (found == rows_.end()) continue;
    rows.push_back({{"key", found->first},
                    {"version", found->second.version},
                    {"value", found->second.value}});
  }
  return JsonAnswer({{"rows", std::move(rows)}});
}

auto PlatformStandin::HandleTransact(const HttpCall& call) -> HttpAnswer {
  ++writes_;
  const auto json = Json::parse(call.body, nullptr, false);
  if (!json.is_object()) return {kBadRequest, "text/plain", "bad body\n"};
  const auto writes = json.value("writes", Json::array());
  auto failed = Json::array();
  for (const auto& write : writes) {
    const auto& key = write["key"].get_ref<const std::string&>();
    const auto found = rows_.find(key);
    const auto version = found == rows_.end() ? 0 : found->second.version;
    if (version != write["expected_version"].get<std::uint64_t>()) {
      failed.push_back(key);
    }
  }
  if (!failed.empty()) {
    return JsonAnswer({{"failed_keys", std::move(failed)}}, kConflict);
  }
  for (const auto& write : writes) {
    rows_[write["key"].get<std::string>()] = {
        next_version_++, write["value"].get<std::string>()};
  }
  return JsonAnswer(Json::object());
}

auto PlatformStandin::HandleObjects(const HttpCall& call) -> HttpAnswer {
  const auto name = call.path.substr(kObjectPathPrefix.size());
  if (call.method == "PUT") {
    objects_[name] = call.body;
    return JsonAnswer(Json::object());
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) return {kNotFound, "text/plain", "no object\n"};
  return {kOk, "application/octet-stream", found->second};
}

auto PlatformStandin::HandleInstances(const HttpCall& call) -> HttpAnswer {
  ++reads_;
  const auto version = std::to_string(instances_version_);
  const auto known = call.query.find("unless_version");
  if (known != call.query.end() && known->second == version) {
    return {kNotModified, "application/json", ""};
  }
  auto list = Json::parse(instances_, nullptr, false);
  if (!list.is_object()) {
    return {kServiceUnavailable, "text/plain", "no list\n"};
  }
  list["version"] = version;
  return JsonAnswer(list);
}

}  // namespace papayaplank
