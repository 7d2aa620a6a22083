// Client of the lagging instance list (docs/PLATFORM.md).
#ifndef STORAGE_INSTANCE_LIST_CLIENT_H_
#define STORAGE_INSTANCE_LIST_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "storage/http_fetch.h"

namespace papayaplank {

// One reading of the list.
struct InstanceList {
  std::vector<TargetInfo> targets;
  // Gossip addresses of entry instances.
  std::vector<std::string> gossip_addresses;
};

// Parses the list's JSON text.
auto ParseInstanceList(const std::string& text) -> Outcome<InstanceList>;

// Reads the list conditionally: an unchanged one costs no body.
class InstanceListClient {
 public:
  InstanceListClient(std::string address, DataCenterId data_center,
                     HttpFetch fetch);

  // The list if it has changed since the last call, else nothing.
  auto ReadIfChanged() -> Outcome<std::optional<InstanceList>>;

 private:
  std::string address_;
  DataCenterId data_center_;
  HttpFetch fetch_;
  // Version of the newest list read; empty before the first.
  std::string version_;
};

}  // namespace papayaplank

#endif  // STORAGE_INSTANCE_LIST_CLIENT_H_
