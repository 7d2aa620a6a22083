// Flags of the router and their check.
#ifndef APPS_ROUTER_FLAGS_H_
#define APPS_ROUTER_FLAGS_H_

#include <string>
#include <variant>
#include <vector>

#include "tasks/tasks.h"

namespace papayaplank {

// The settings, or every fault of the flags and the environment.
using SettingsResult = std::variant<RouterSettings, std::vector<std::string>>;

// Reads flags and environment variables; changes `argc` and `argv`.
auto ReadSettings(int* argc, char*** argv) -> SettingsResult;

// Whether only the check of the settings was asked for.
auto IsCheckOnly() -> bool;

}  // namespace papayaplank

#endif  // APPS_ROUTER_FLAGS_H_
