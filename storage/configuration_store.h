// The history of configuration versions in the table service.
//
// Row config/head holds the newest version; row config/change/N the change
// that made version N, with its operation id. One transaction writes both on
// the condition that the head is unchanged, so versions form one sequence
// without gaps. Every 200th version is also written as a snapshot to the object
// store, and row config/snapshot holds the version of the newest one.
#ifndef STORAGE_CONFIGURATION_STORE_H_
#define STORAGE_CONFIGURATION_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "storage/object_client.h"
#include "storage/table_client.h"

namespace papayaplank {

// One accepted change.
struct StoredChange {
  ConfigVersion version;
  std::string operation_id;
  std::string text;
};

// A change as an operator submits it.
struct Submission {
  // The version on which the change is based.
  ConfigVersion base;
  // Chosen by the operator's tool; the same for each retry.
  std::string operation_id;
  std::string text;
};

// Reads the version history and appends to it.
class ConfigurationStore {
 public:
  ConfigurationStore(TableClient table, ObjectClient objects);

  // The newest accepted version.
  auto ReadHead() -> Outcome<ConfigVersion>;

  // Appends a change that was validated against its base, and returns its
  // version. Errors: `kConflict` if another change was accepted first;
  // `kUnavailable` or `kUnknownEffect` if the table service did not confirm the
  // write. After one of these two, submit again with the same operation id: an
  // accepted change returns its version again.
  auto Submit(const Submission& submission) -> Outcome<ConfigVersion>;

  // Changes after `version`, oldest first, at most `limit`; they end before the
  // first change whose row is missing or invalid. Errors: those of
  // `TableClient::Read`, and `kConflict` if the history ends before `version`,
  // as after a restore of the table from an older copy.
  auto ReadChanges(ConfigVersion version, std::size_t limit)
      -> Outcome<std::vector<StoredChange>>;

  // The newest snapshot, or nothing if there is none. Error `kInvalidArgument`:
  // it is damaged.
  auto ReadSnapshot() -> Outcome<std::optional<Configuration>>;

  // Writes a snapshot if the version is due for one.
  auto WriteSnapshotIfDue(const Configuration& configuration) -> Outcome<Done>;

 private:
  // The version after `base` if this submission created it; nothing if another
  // one did or none has.
  auto FindAccepted(const Submission& submission)
      -> Outcome<std::optional<ConfigVersion>>;

  TableClient table_;
  ObjectClient objects_;
};

}  // namespace papayaplank

#endif  // STORAGE_CONFIGURATION_STORE_H_
