// Client of the instance list, which may be older than the actual state of the
// instances (docs/PLATFORM.md).
#ifndef STORAGE_INSTANCE_LIST_CLIENT_H_
#define STORAGE_INSTANCE_LIST_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "placement/placement.h"
#include "storage/http_fetch.h"

namespace papayaplank {

// Contents of the list.
struct InstanceList {
  std::vector<TargetInfo> targets;
  // Gossip addresses of router instances.
  std::vector<std::string> gossip_addresses;
  // What is wrong with each entry that names no target.
  std::vector<std::string> unusable;
};

// Parses the list's JSON text. Error `kInvalidArgument`: it is malformed as a
// whole. An entry of a target that is incomplete or out of range is left out,
// and so is a router without a gossip address.
auto ParseInstanceList(const std::string& text) -> Outcome<InstanceList>;

// Reads the list conditionally: an unchanged list is not transferred.
class InstanceListClient {
 public:
  InstanceListClient(std::string address, DataCenterId data_center,
                     HttpFetch fetch);

  // The list if it has changed since the last call that returned one, else
  // nothing. Errors: those of the fetch and of `ParseInstanceList`, and
  // `kUnavailable` for an unexpected status.
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
