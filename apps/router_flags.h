// Flags of papayaplank_router.
#ifndef APPS_ROUTER_FLAGS_H_
#define APPS_ROUTER_FLAGS_H_

#include <string>
#include <variant>
#include <vector>

#include "tasks/tasks.h"

namespace papayaplank {

// The settings, or an error message for each flag, environment variable and
// argument that is not valid.
using SettingsResult = std::variant<RouterSettings, std::vector<std::string>>;

// Reads flags and environment variables; changes `argc` and `argv`.
auto ReadSettings(int* argc, char*** argv) -> SettingsResult;

// Whether --check_settings is given: validate the settings and exit.
auto IsCheckOnly() -> bool;

}  // namespace papayaplank

#endif  // APPS_ROUTER_FLAGS_H_
