// Main program of papayaplank_router: reads the settings, starts the router
// and stops it on SIGTERM or SIGINT.
#include <glog/logging.h>
#include <pthread.h>
#include <sys/resource.h>

#include <csignal>
#include <iostream>

#include "apps/router_flags.h"
#include "tasks/tasks.h"

namespace papayaplank {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

// Blocks the stop signals in all threads, so that only `sigwait` in the main
// thread receives them.
auto BlockSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Raises the soft limit of file descriptors to the hard limit: each stream
// needs two, one to the caller and one to the target.
auto RaiseDescriptorLimit() -> void {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

auto Main(int argc, char** argv) -> int {
  const auto result = ReadSettings(&argc, &argv);
  if (const auto* errors = std::get_if<std::vector<std::string>>(&result)) {
    for (const auto& error : *errors) std::cerr << error << '\n';
    return kExitBadSettings;
  }
  if (IsCheckOnly()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("papayaplank_router");
  RaiseDescriptorLimit();
  const auto signals = BlockSignals();
  auto router = RouterProcess::Open(std::get<RouterSettings>(result));
  if (!IsOk(router)) {
    std::cerr << ErrorOf(router).message << '\n';
    return kExitCannotStart;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  ValueOf(router)->Stop();
  return 0;
}

}  // namespace
}  // namespace papayaplank

auto main(int argc, char** argv) -> int {
  return papayaplank::Main(argc, argv);
}
