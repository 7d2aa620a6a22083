// Main program of papayaplankctl, the operators' command-line tool.
#include <curl/curl.h>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "apps/ctl_commands.h"
#include "apps/environment.h"
#include "apps/explain_command.h"
#include "apps/load_command.h"

DEFINE_string(router, "127.0.0.1:9100", "Operator address of any router.");
DEFINE_string(operator_key, "",
              "Operator key; better given as PAPAYAPLANK_OPERATOR_KEY.");
DEFINE_string(output, "text", "Format of the output: text or json.");
DEFINE_string(file, "", "Change document for check, diff and submit.");
DEFINE_int64(base, -1, "Version that the change is based on.");
DEFINE_string(operation_id, "",
              "Id of the submission; a retry with the same id is safe.");
DEFINE_double(wait_seconds, 0,
              "submit: longest wait until the change is in force on all live "
              "routers.");
DEFINE_string(customer, "", "explain: the customer.");
DEFINE_string(method, "POST", "explain: method of the request.");
DEFINE_string(path, "", "explain: path of the request.");
DEFINE_string(class_header, "", "explain: value of X-Papayaplank-Class.");
DEFINE_string(data_center, "", "explain: the caller's data centre.");
DEFINE_string(plan, "", "load: file with the load plan.");

namespace papayaplank {
namespace {

constexpr const char* kUsage =
    R"(papayaplankctl COMMAND [ARGUMENT..] [--FLAG=VALUE..]

  check --file=F             check a change without submitting it
  diff --file=F              compare a change with the version in force
  submit --file=F --base=N   submit a change based on version N
  show version               version in force, numbers of entries
  show template|customer X   one entry in force
  history [AFTER]            accepted changes after a version
  status                     routers and pools
  targets                    targets and their owners
  explain ID [LOG..]         what happened to a request, from routers' logs;
                             standard input if no file is given
  explain --customer=C --path=P   class, pool, limits, home routers
  hash-key KEY               hash of an API key for key_hashes
  load --plan=F              send a bounded load and check the answers

Flags can be given as environment variables, PAPAYAPLANK_ROUTER and so on.
Exit codes: 0 done, 2 bad input or document, 3 conflict, 4 no answer,
5 not found, 6 accepted but not in force everywhere, 7 wrong answers.)";

auto RunCommand(const std::string& command, const CtlContext& context) -> int {
  const ChangeOptions change{FLAGS_file, FLAGS_base, FLAGS_operation_id,
                             FLAGS_wait_seconds};
  if (command == "check") return CheckChange(context, change);
  if (command == "diff") return DiffChange(context, change);
  if (command == "submit") return SubmitChange(context, change);
  if (command == "show") return Show(context);
  if (command == "history") return History(context);
  if (command == "status") return Status(context);
  if (command == "targets") return ListTargets(context);
  if (command == "hash-key") return HashKey(context);
  if (command == "load") return RunLoad(FLAGS_plan, context.is_json);
  if (command == "explain" && !context.arguments.empty()) {
    const auto& arguments = context.arguments;
    return ExplainRequest(arguments.front(),
                          {arguments.begin() + 1, arguments.end()},
                          context.is_json);
  }
  if (command == "explain") {
    return ExplainRouting(context, {FLAGS_customer, FLAGS_method, FLAGS_path,
                                    FLAGS_class_header, FLAGS_data_center});
  }
  std::cerr << "unknown command '" << command << "'\n\n" << kUsage << '\n';
  return kExitInvalidInput;
}

auto Main(int argc, char** argv) -> int {
  gflags::SetUsageMessage(kUsage);
  const auto errors = SetFlagsFromEnvironment("ctl_main");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const auto is_help_wanted =
      gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true";
  for (const auto& error : errors) std::cerr << error << '\n';
  if (!errors.empty()) return kExitInvalidInput;
  if (is_help_wanted || argc < 2) {
    std::cout << kUsage << '\n';
    return is_help_wanted ? kExitOk : kExitInvalidInput;
  }
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    std::cerr << "--output is '" << FLAGS_output
              << "'; allowed are text and json\n";
    return kExitInvalidInput;
  }
  CtlContext context{
      FLAGS_router, FLAGS_operator_key, FLAGS_output == "json", {}};
  for (int i = 2; i < argc; ++i) context.arguments.emplace_back(argv[i]);
  return RunCommand(argv[1], context);
}

}  // namespace
}  // namespace papayaplank

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return papayaplank::Main(argc, argv);
}
