// Flags of the router on the users' platform, and their check.
#ifndef APPS_EDGE_FLAGS_H_
#define APPS_EDGE_FLAGS_H_

#include <string>
#include <variant>
#include <vector>

#include "relay/relay.h"

namespace papayaplank {

// The settings, or every fault of the flags and the settings file.
using EdgeSettingsResult =
    std::variant<RelaySettings, std::vector<std::string>>;

// Reads the command line and the settings file; changes `argc` and `argv`.
auto ReadEdgeSettings(int* argc, char*** argv) -> EdgeSettingsResult;

// Reads the settings file anew. Returns a line for the log; a file with a
// fault changes nothing.
auto ReloadEdgeSettings() -> std::string;

}  // namespace papayaplank

#endif  // APPS_EDGE_FLAGS_H_
