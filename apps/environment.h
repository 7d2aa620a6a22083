// Settings from the environment: PAPAYAPLANK_NAME sets the flag --name, unless
// the command line gives it.
#ifndef APPS_ENVIRONMENT_H_
#define APPS_ENVIRONMENT_H_

#include <string>
#include <vector>

namespace papayaplank {

// Sets the flags that are defined in the source files whose names contain
// `file_part` from the environment. Returns a message for each bad value.
auto ApplyEnvironment(const std::string& file_part) -> std::vector<std::string>;

}  // namespace papayaplank

#endif  // APPS_ENVIRONMENT_H_
