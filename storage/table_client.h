// Client of the transactional table service (docs/PLATFORM.md).
#ifndef STORAGE_TABLE_CLIENT_H_
#define STORAGE_TABLE_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "storage/http_fetch.h"

namespace papayaplank {

// A row; version 0 means that there is no such row.
struct TableRow {
  std::uint64_t version = 0;
  std::string value;
};

// A write that is executed only if the row still has `expected_version`; 0
// means that the row must not exist.
struct ConditionalWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

// Whether a transaction took effect, and which rows prevented it.
struct TransactionResult {
  bool is_committed = false;
  std::vector<std::string> failed_keys;
};

// Rows by their keys.
using TableRows = std::map<std::string, TableRow>;

// Reads and writes rows. Every call has a timeout of 2 seconds.
class TableClient {
 public:
  TableClient(std::string address, HttpFetch fetch);

  // Reads rows; a row that does not exist has version 0. Errors: those of the
  // fetch, and `kUnavailable` for an unexpected answer.
  auto Read(const std::vector<std::string>& keys) -> Outcome<TableRows>;

  // Writes all rows or none. Errors: those of the fetch, and `kUnknownEffect`
  // for an unexpected status. After `kUnknownEffect`, the calling code reads
  // the rows again and compares their operation ids.
  auto Transact(const std::vector<ConditionalWrite>& writes)
      -> Outcome<TransactionResult>;

 private:
  std::string address_;
  HttpFetch fetch_;
};

}  // namespace papayaplank

#endif  // STORAGE_TABLE_CLIENT_H_
