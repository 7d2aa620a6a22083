// Matches environment variables to gflags and sets their defaults.
#include "apps/environment.h"

#include <gflags/gflags.h>

#include <cctype>
#include <cstdlib>

namespace papayaplank {

auto SetFlagsFromEnvironment(const std::string& source_name)
    -> std::vector<std::string> {
  std::vector<std::string> errors;
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& flag : flags) {
    if (flag.filename.find(source_name) == std::string::npos) continue;
    std::string variable = "PAPAYAPLANK_";
    for (const auto c : flag.name) {
      variable +=
          static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    const auto* value = std::getenv(variable.c_str());
    if (value == nullptr) continue;
    const auto set = gflags::SetCommandLineOptionWithMode(
        flag.name.c_str(), value, gflags::SET_FLAGS_DEFAULT);
    if (set.empty()) {
      errors.push_back(variable + " is '" + value + "', which is not a valid " +
                       flag.type + "; correct or unset it");
    }
  }
  return errors;
}

}  // namespace papayaplank
