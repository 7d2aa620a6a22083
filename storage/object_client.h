// Client of the object store (docs/PLATFORM.md).
#ifndef STORAGE_OBJECT_CLIENT_H_
#define STORAGE_OBJECT_CLIENT_H_

#include <string>

#include "storage/http_fetch.h"

namespace papayaplank {

// Stores and fetches named byte strings. Objects are immutable.
class ObjectClient {
 public:
  ObjectClient(std::string address, HttpFetch fetch);

  // Errors of both: those of the fetch, and `kUnavailable` for an unexpected
  // status; `Get` returns `kNotFound` if there is no such object.
  auto Put(const std::string& name, const std::string& bytes) -> Outcome<Done>;
  auto Get(const std::string& name) -> Outcome<std::string>;

 private:
  std::string address_;
  HttpFetch fetch_;
};

}  // namespace papayaplank

#endif  // STORAGE_OBJECT_CLIENT_H_
