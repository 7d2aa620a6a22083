// `papayaplankctl explain ID`: shows what happened to one request, from the
// log files of the routers.
#ifndef APPS_EXPLAIN_COMMAND_H_
#define APPS_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

namespace papayaplank {

// Reads `files`, or standard input if there are none or a file is "-".
// Returns an exit code of papayaplankctl.
auto ExplainRequest(const std::string& request,
                    const std::vector<std::string>& files, bool is_json) -> int;

}  // namespace papayaplank

#endif  // APPS_EXPLAIN_COMMAND_H_
