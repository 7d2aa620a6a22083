// Commands of papayaplankctl, except `load` and `explain ID`.
#ifndef APPS_CTL_COMMANDS_H_
#define APPS_CTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayaplank {

// Exit codes of papayaplankctl.
enum ExitCode : int {
  kExitOk = 0,
  kExitInvalidInput = 2,  // Bad arguments or an invalid document.
  kExitConflict = 3,      // The base version of the change is outdated.
  kExitUnavailable = 4,   // No answer, or another error such as a wrong key.
  kExitNotFound = 5,      // The entry or the request does not exist.
  kExitNotInForce = 6,    // Accepted, but not in force everywhere in time.
  kExitWrongAnswers = 7,  // `load` received answers with a wrong hash.
};

// Options that all commands share, and the arguments of the command.
struct CtlContext {
  // Operator address of a router.
  std::string router;
  std::string operator_key;
  bool is_json = false;
  std::vector<std::string> arguments;
};

// Options of the commands that take a change document.
struct ChangeOptions {
  // Path of the document; "-" for standard input.
  std::string file;
  // Version that the change is based on; negative if it was not given.
  std::int64_t base_version = -1;
  // Empty for a random id.
  std::string operation_id;
  // Longest wait until the change is in force; 0 does not wait.
  double wait_seconds = 0;
};

// The commands print their result to standard output and errors to standard
// error, and return an `ExitCode`.

// `check`: validates the document without submitting it.
auto CheckChange(const CtlContext& context, const ChangeOptions& options)
    -> int;
// `submit`: prints the accepted version, or the operation id for a retry.
auto SubmitChange(const CtlContext& context, const ChangeOptions& options)
    -> int;
// `diff`: prints a line for each entry of the document: `+` new, `=` unchanged,
// `~` changed, `-` removed.
auto DiffChange(const CtlContext& context, const ChangeOptions& options) -> int;

// `show version`, `show template NAME`, `show customer NAME`.
auto Show(const CtlContext& context) -> int;
// `history [AFTER_VERSION]`: prints at most 50 changes.
auto History(const CtlContext& context) -> int;
// `status`: prints the routers, their versions, and the load of the pools.
auto Status(const CtlContext& context) -> int;
// `targets`: prints the targets and their owners.
auto ListTargets(const CtlContext& context) -> int;

// A request to classify; `explain` without an id does not send it.
struct RoutingQuery {
  std::string customer;
  std::string method = "POST";
  std::string path;
  std::string class_header;
  std::string data_center;
};
// `explain --customer=C --path=P`: prints how the router classifies a request.
auto ExplainRouting(const CtlContext& context, const RoutingQuery& query)
    -> int;

// `hash-key KEY`: prints the value for `key_hashes`.
auto HashKey(const CtlContext& context) -> int;

}  // namespace papayaplank

#endif  // APPS_CTL_COMMANDS_H_
