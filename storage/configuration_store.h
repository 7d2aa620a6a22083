// The version chain of the configuration in the table service.
//
// Row config/head holds the newest version; row config/change/N the change
// that made version N, with its operation id. One transaction writes both, on
// the condition that the head has not moved, so versions form one chain.
// Every `kSnapshotPeriod` versions the whole goes to the object store.
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
  // The version that the operator saw.
  ConfigVersion base;
  // Chosen by the operator's tool; the same for every repetition.
  std::string operation_id;
  std::string text;
};

// Reads and extends the version chain.
class ConfigurationStore {
 public:
  ConfigurationStore(TableClient table, ObjectClient objects);

  // The newest accepted version.
  auto ReadHead() -> Outcome<ConfigVersion>;

  // Accepts a change that was checked against its base, or reports that
  // somebody else's came first (`kConflict`). A lost answer is read back; a
  // repetition of an accepted change gives the same version again.
  auto Submit(const Submission& submission) -> Outcome<ConfigVersion>;

  // Changes after `version`, oldest first, at most `limit`.
  auto ReadChanges(ConfigVersion version, std::size_t limit)
      -> Outcome<std::vector<StoredChange>>;

  // The newest snapshot, or nothing if there is none.
  auto ReadSnapshot() -> Outcome<std::optional<Configuration>>;

  // Writes a snapshot if the version is due for one.
  auto WriteSnapshotIfDue(const Configuration& configuration) -> Outcome<Done>;

 private:
  // Version of an accepted change with that operation id after `base`, or
  // nothing if it was not accepted.
  auto FindAccepted(const Submission& submission)
      -> Outcome<std::optional<ConfigVersion>>;

  TableClient table_;
  ObjectClient objects_;
};

}  // namespace papayaplank

#endif  // STORAGE_CONFIGURATION_STORE_H_
