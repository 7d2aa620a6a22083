// Commands of papayaplankctl beside `load`.
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
  kExitConflict = 3,      // Another change came first.
  kExitUnavailable = 4,   // The router or the table service did not answer.
  kExitNotFound = 5,      // There is no such thing.
  kExitNotInForce = 6,    // Accepted, but not in force everywhere in time.
  kExitWrongAnswers = 7,  // `load` got answers that were not whole.
};

// How the command reaches a router and prints.
struct CtlContext {
  std::string router;
  std::string operator_key;
  bool is_json = false;
  std::vector<std::string> arguments;
};

// Options of the commands that take a change document.
struct ChangeOptions {
  std::string file;
  // Version that the operator saw; negative if it was not given.
  std::int64_t base = -1;
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

// What `explain` is asked about.
struct ExplainOptions {
  std::string customer;
  std::string method = "POST";
  std::string path;
  std::string class_header;
  std::string data_center;
};
auto Explain(const CtlContext& context, const ExplainOptions& options) -> int;

// `hash-key KEY`: what stands in `key_hashes`.
auto HashKey(const CtlContext& context) -> int;

}  // namespace papayaplank

#endif  // APPS_CTL_COMMANDS_H_
