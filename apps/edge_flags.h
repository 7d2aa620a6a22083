// Flags of papayaplank_edge, the router that reads its configuration and
// targets from the store of the users' platform (platform/platform.h).
#ifndef APPS_EDGE_FLAGS_H_
#define APPS_EDGE_FLAGS_H_

#include <string>
#include <variant>
#include <vector>

#include "relay/relay.h"

namespace papayaplank {

// The settings, or an error message for each flag and each line of the settings
// file that is not valid.
using EdgeSettingsResult =
    std::variant<RelaySettings, std::vector<std::string>>;

// Reads the command line and the settings file; changes `argc` and `argv`.
auto ReadEdgeSettings(int* argc, char*** argv) -> EdgeSettingsResult;

// Reads the settings file again and sets the flags; a running relay keeps its
// settings. Returns a message for the log; a file with an error changes no
// flag.
auto ReloadEdgeSettings() -> std::string;

}  // namespace papayaplank

#endif  // APPS_EDGE_FLAGS_H_
