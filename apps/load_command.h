// `papayaplankctl load`: a bounded load of several customers.
#ifndef APPS_LOAD_COMMAND_H_
#define APPS_LOAD_COMMAND_H_

#include <string>

#include "apps/ctl_commands.h"

namespace papayaplank {

// Runs the plan in the file and prints histograms per customer and class.
// Every answer that carries X-Answer-Sha256 is checked byte for byte.
auto RunLoad(const std::string& plan_file, bool is_json) -> int;

}  // namespace papayaplank

#endif  // APPS_LOAD_COMMAND_H_
