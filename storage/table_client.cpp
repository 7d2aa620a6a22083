// HTTP requests and JSON parsing of the table service.
#include "storage/table_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kConditionFailed = 409;

auto UnexpectedAnswer(const HttpResponse& response) -> Error {
  return Error{ErrorCode::kUnavailable,
               "unexpected answer of the table service, status " +
                   std::to_string(response.status) + "; try again later"};
}

}  // namespace

TableClient::TableClient(std::string address, HttpFetch fetch)
    : address_(std::move(address)), fetch_(std::move(fetch)) {}

auto TableClient::Read(const std::vector<std::string>& keys)
    -> Outcome<TableRows> {
  const Json body = {{"keys", keys}};
  auto answer =
      fetch_({"POST", address_, "/v1/read", body.dump(), "", seconds(2)});
  if (!IsOk(answer)) return ErrorOf(answer);
  const auto& response = ValueOf(answer);
  if (response.status != kOk) return UnexpectedAnswer(response);
  const auto json = Json::parse(response.body, nullptr, false);
  TableRows rows;
  for (const auto& key : keys) rows[key] = TableRow{};
  if (!json.is_object() || !json.contains("rows")) {
    return UnexpectedAnswer(response);
  }
  for (const auto& row : json["rows"]) {
    const auto is_complete =
        row.is_object() && row.contains("key") && row["key"].is_string() &&
        row.contains("version") && row["version"].is_number_unsigned() &&
        row.contains("value") && row["value"].is_string();
    if (!is_complete) return UnexpectedAnswer(response);
    rows[row["key"].get<std::string>()] = {row["version"].get<std::uint64_t>(),
                                           row["value"].get<std::string>()};
  }
  return rows;
}

auto TableClient::Transact(const std::vector<ConditionalWrite>& writes)
    -> Outcome<TransactionResult> {
  Json list = Json::array();
  for (const auto& write : writes) {
    list.push_back({{"key", write.key},
                    {"expected_version", write.expected_version},
                    {"value", write.value}});
  }
  const Json body = {{"writes", std::move(list)}};
  auto answer =
      fetch_({"POST", address_, "/v1/transact", body.dump(), "", seconds(2)});
  if (!IsOk(answer)) return ErrorOf(answer);
  const auto& response = ValueOf(answer);
  if (response.status == kOk) return TransactionResult{true, {}};
  if (response.status != kConditionFailed) {
    // A server error may be reported after the transaction took effect.
    return Error{ErrorCode::kUnknownEffect, UnexpectedAnswer(response).message};
  }
  TransactionResult result;
  const auto json = Json::parse(response.body, nullptr, false);
  if (json.is_object() && json.contains("failed_keys")) {
    for (const auto& key : json["failed_keys"]) {
      if (key.is_string()) result.failed_keys.push_back(key);
    }
  }
  return result;
}

}  // namespace papayaplank
