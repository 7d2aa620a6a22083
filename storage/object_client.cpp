// HTTP requests to the object store.
#include "storage/object_client.h"

#include <utility>

namespace papayaplank {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr Duration kTimeout = seconds(10);

}  // namespace

ObjectClient::ObjectClient(std::string address, HttpFetch fetch)
    : address_(std::move(address)), fetch_(std::move(fetch)) {}

auto ObjectClient::Put(const std::string& name, const std::string& bytes)
    -> Outcome<Done> {
  auto answer =
      fetch_({"PUT", address_, "/v1/objects/" + name, bytes, "", kTimeout});
  if (!IsOk(answer)) return ErrorOf(answer);
  if (ValueOf(answer).status == kOk) return Done{};
  return Error{
      ErrorCode::kUnavailable,
      "object store answered status " + std::to_string(ValueOf(answer).status)};
}

auto ObjectClient::Get(const std::string& name) -> Outcome<std::string> {
  auto answer =
      fetch_({"GET", address_, "/v1/objects/" + name, "", "", kTimeout});
  if (!IsOk(answer)) return ErrorOf(answer);
  auto& response = ValueOf(answer);
  if (response.status == kOk) return std::move(response.body);
  const auto code = response.status == kNotFound ? ErrorCode::kNotFound
                                                 : ErrorCode::kUnavailable;
  return Error{code, "object '" + name + "' was answered with status " +
                         std::to_string(response.status)};
}

}  // namespace papayaplank
