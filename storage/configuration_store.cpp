// Compare-and-set on the head row; after a lost answer, rows are read again.
#include "storage/configuration_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kSnapshotPeriod = 200;
constexpr const char* kHeadKey = "config/head";
constexpr const char* kSnapshotKey = "config/snapshot";

auto ChangeKey(ConfigVersion version) -> std::string {
  return "config/change/" + std::to_string(version.value());
}

auto NextVersion(ConfigVersion version) -> ConfigVersion {
  return ConfigVersion(version.value() + 1);
}

// The version in a head or snapshot row; 0 when there is none.
auto ParseVersion(const TableRow& row) -> ConfigVersion {
  const auto json = Json::parse(row.value, nullptr, false);
  if (!json.is_object() || !json.contains("version")) return {};
  if (!json["version"].is_number_unsigned()) return {};
  return ConfigVersion(json["version"].get<std::uint64_t>());
}

auto ParseChange(ConfigVersion version, const TableRow& row)
    -> std::optional<StoredChange> {
  const auto json = Json::parse(row.value, nullptr, false);
  const auto is_complete = json.is_object() && json.contains("operation_id") &&
                           json["operation_id"].is_string() &&
                           json.contains("change") &&
                           json["change"].is_string();
  if (!is_complete) return std::nullopt;
  return StoredChange{version, json["operation_id"], json["change"]};
}

}  // namespace

ConfigurationStore::ConfigurationStore(TableClient table, ObjectClient objects)
    : table_(std::move(table)), objects_(std::move(objects)) {}

auto ConfigurationStore::ReadHead() -> Outcome<ConfigVersion> {
  auto rows = table_.Read({kHeadKey});
  if (!IsOk(rows)) return ErrorOf(rows);
  return ParseVersion(ValueOf(rows)[kHeadKey]);
}

auto ConfigurationStore::FindAccepted(const Submission& submission)
    -> Outcome<std::optional<ConfigVersion>> {
  const auto version = NextVersion(submission.base);
  auto rows = table_.Read({ChangeKey(version)});
  if (!IsOk(rows)) return ErrorOf(rows);
  const auto change = ParseChange(version, ValueOf(rows)[ChangeKey(version)]);
  if (!change || change->operation_id != submission.operation_id) {
    return std::nullopt;
  }
  return std::optional(version);
}

auto ConfigurationStore::Submit(const Submission& submission)
    -> Outcome<ConfigVersion> {
  const auto version = NextVersion(submission.base);
  auto rows = table_.Read({kHeadKey, ChangeKey(version)});
  if (!IsOk(rows)) return ErrorOf(rows);
  const auto head = ValueOf(rows)[kHeadKey];
  const auto existing = ParseChange(version, ValueOf(rows)[ChangeKey(version)]);
  if (existing && existing->operation_id == submission.operation_id) {
    return version;
  }
  if (ParseVersion(head) != submission.base) {
    return Error{ErrorCode::kConflict,
                 "the change is based on version " +
                     std::to_string(submission.base.value()) + " but version " +
                     std::to_string(ParseVersion(head).value()) +
                     " is in force; review the difference and submit again"};
  }
  const Json head_row = {{"version", version.value()},
                         {"operation_id", submission.operation_id}};
  const Json change_row = {{"operation_id", submission.operation_id},
                           {"change", submission.text}};
  auto written = table_.Transact({{kHeadKey, head.version, head_row.dump()},
                                  {ChangeKey(version), 0, change_row.dump()}});
  if (IsOk(written) && ValueOf(written).is_committed) return version;
  if (!IsOk(written) && ErrorOf(written).code == ErrorCode::kUnavailable) {
    return ErrorOf(written);
  }
  // The answer was lost, or another change was accepted first: the row shows
  // which.
  auto accepted = FindAccepted(submission);
  if (!IsOk(accepted)) {
    return Error{ErrorCode::kUnknownEffect,
                 "the table service did not confirm whether the change was "
                 "accepted; submit it again with the same operation id"};
  }
  if (ValueOf(accepted)) return *ValueOf(accepted);
  return Error{ErrorCode::kConflict,
               "another change was accepted first; review the difference "
               "and submit again"};
}

auto ConfigurationStore::ReadChanges(ConfigVersion version, std::size_t limit)
    -> Outcome<std::vector<StoredChange>> {
  auto head = ReadHead();
  if (!IsOk(head)) return ErrorOf(head);
  if (ValueOf(head) < version) {
    return Error{ErrorCode::kConflict,
                 "the table service ends its history at version " +
                     std::to_string(ValueOf(head).value()) +
                     ", before version " + std::to_string(version.value()) +
                     "; restore the rows config/* that it has lost"};
  }
  std::vector<std::string> keys;
  std::vector<ConfigVersion> versions;
  for (auto next = NextVersion(version);
       next <= ValueOf(head) && versions.size() < limit;
       next = NextVersion(next)) {
    versions.push_back(next);
    keys.push_back(ChangeKey(next));
  }
  std::vector<StoredChange> changes;
  if (keys.empty()) return changes;
  auto rows = table_.Read(keys);
  if (!IsOk(rows)) return ErrorOf(rows);
  for (const auto each : versions) {
    auto change = ParseChange(each, ValueOf(rows)[ChangeKey(each)]);
    // Changes may only be applied without gaps.
    if (!change) break;
    changes.push_back(std::move(*change));
  }
  return changes;
}

auto ConfigurationStore::ReadSnapshot()
    -> Outcome<std::optional<Configuration>> {
  auto rows = table_.Read({kSnapshotKey});
  if (!IsOk(rows)) return ErrorOf(rows);
  const auto version = ParseVersion(ValueOf(rows)[kSnapshotKey]);
  if (version.is_empty()) return std::nullopt;
  auto text =
      objects_.Get("config-snapshot-" + std::to_string(version.value()));
  if (!IsOk(text)) return ErrorOf(text);
  auto configuration = Configuration::FromSnapshot(ValueOf(text));
  if (const auto* snapshot = std::get_if<Configuration>(&configuration)) {
    return std::optional(*snapshot);
  }
  return Error{ErrorCode::kInvalidArgument,
               "the snapshot in the object store is damaged"};
}

auto ConfigurationStore::WriteSnapshotIfDue(const Configuration& configuration)
    -> Outcome<Done> {
  const auto version = configuration.version();
  if (version.value() % kSnapshotPeriod != 0 || version.is_empty()) {
    return Done{};
  }
  auto stored =
      objects_.Put("config-snapshot-" + std::to_string(version.value()),
                   configuration.Snapshot());
  if (!IsOk(stored)) return ErrorOf(stored);
  auto rows = table_.Read({kSnapshotKey});
  if (!IsOk(rows)) return ErrorOf(rows);
  const auto row = ValueOf(rows)[kSnapshotKey];
  if (ParseVersion(row) >= version) return Done{};
  const Json value = {{"version", version.value()}};
  auto written = table_.Transact({{kSnapshotKey, row.version, value.dump()}});
  if (!IsOk(written)) return ErrorOf(written);
  return Done{};
}

}  // namespace papayaplank
