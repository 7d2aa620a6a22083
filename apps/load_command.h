// `papayaplankctl load`: sends a bounded load with the API keys of several
// customers.
#ifndef APPS_LOAD_COMMAND_H_
#define APPS_LOAD_COMMAND_H_

#include <string>

#include "apps/ctl_commands.h"

namespace papayaplank {

// Runs the plan in the file and prints counts and first-byte quantiles per
// customer and class. The body of an answer is checked against its header
// X-Answer-Sha256. Returns an exit code of papayaplankctl: kExitInvalidInput
// for an invalid plan, kExitWrongAnswers if a body does not match.
auto RunLoad(const std::string& plan_file, bool is_json) -> int;

}  // namespace papayaplank

#endif  // APPS_LOAD_COMMAND_H_
