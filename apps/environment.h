// Sets flags from environment variables: PAPAYAPLANK_NAME sets --name, unless
// the command line gives it.
#ifndef APPS_ENVIRONMENT_H_
#define APPS_ENVIRONMENT_H_

#include <string>
#include <vector>

namespace papayaplank {

// Sets the flags that are defined in source files whose names contain
// `source_name` from the environment. Sets their defaults, so it must run
// before the command line is parsed. Returns a message for each bad value.
auto SetFlagsFromEnvironment(const std::string& source_name)
    -> std::vector<std::string>;

}  // namespace papayaplank

#endif  // APPS_ENVIRONMENT_H_
