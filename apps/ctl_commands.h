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
  kExitUnavailable = 4,   // The router or the table service did not answer.
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
  std::string file;
  // Version that the change is based on; negative if it was not given.
  std::int64_t base_version = -1;
  std::string operation_id;
  double wait_seconds = 0;
};

auto CheckChange(const CtlContext& context, const ChangeOptions& options)
    -> int;
auto SubmitChange(const CtlContext& context, const ChangeOptions& options)
    -> int;
auto DiffChange(const CtlContext& context, const ChangeOptions& options) -> int;

// `show version`, `show template NAME`, `show customer NAME`.
auto Show(const CtlContext& context) -> int;
// `history [AFTER_VERSION]`.
auto History(const CtlContext& context) -> int;
auto Status(const CtlContext& context) -> int;
auto ListTargets(const CtlContext& context) -> int;

// Properties of the request that `explain` without an id classifies.
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
