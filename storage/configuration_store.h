// The history of configuration versions in the table service.
//
// Row config/head holds the newest version; row config/change/N the change
// that made version N, with its operation id. One transaction writes both on
// the condition that the head is unchanged, so versions form one sequence
// without gaps. Each `kSnapshotPeriod` versions, a snapshot goes to the object
// store.
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

  // Appends a change that was validated against its base. Error
  // `kConflict`: another change was accepted first. After another error, submit
  // again with the same operation id; retrying an accepted change returns its
  // version. After a lost answer, the rows are read again.
  auto Submit(const Submission& submission) -> Outcome<ConfigVersion>;

  // Changes after `version`, oldest first, at most `limit`.
  auto ReadChanges(ConfigVersion version, std::size_t limit)
      -> Outcome<std::vector<StoredChange>>;

  // The newest snapshot, or nothing if there is none.
  auto ReadSnapshot() -> Outcome<std::optional<Configuration>>;

  // Writes a snapshot if the version is due for one.
  auto WriteSnapshotIfDue(const Configuration& configuration) -> Outcome<Done>;

 private:
  // Version after `base` if the change with this operation id made it; nothing
  // if it was not accepted.
  auto FindAccepted(const Submission& submission)
      -> Outcome<std::optional<ConfigVersion>>;

  TableClient table_;
  ObjectClient objects_;
};

}  // namespace papayaplank

#endif  // STORAGE_CONFIGURATION_STORE_H_
