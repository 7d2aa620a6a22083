// Main program of the stand-ins; one process serves all that its flags name.
#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include "standins/engine_standin.h"
#include "standins/platform_standin.h"
#include "standins/service_standin.h"

DEFINE_string(platform, "",
              "IP:port of table service, object store and instance list.");
DEFINE_string(instances, "", "File with the instance list.");
DEFINE_string(engines, "", "IP:port of each engine, comma separated.");
DEFINE_int32(engine_slots, 16, "Slots of each engine.");
DEFINE_int32(token_gap_us, 20000, "Microseconds between two tokens.");
DEFINE_string(services, "", "IP:port of each service, comma separated.");
DEFINE_int32(service_work_us, 2000,
             "Microseconds that a service works on each request.");

namespace papayaplank {
namespace {

constexpr int kExitCannotStart = 3;

auto SplitList(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) items.push_back(item);
  return items;
}

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Adds an opened stand-in to `servers`, or prints why it could not be opened
// and returns false.
template <typename Standin>
auto AddOpened(Outcome<std::unique_ptr<Standin>> opened,
               std::vector<std::unique_ptr<Standin>>& servers) -> bool {
  if (!IsOk(opened)) {
    std::cerr << ErrorOf(opened).message << '\n';
    return false;
  }
  servers.push_back(std::move(ValueOf(opened)));
  return true;
}

auto Main() -> int {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<PlatformStandin>> platforms;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::vector<std::unique_ptr<ServiceStandin>> services;
  bool is_up = true;
  if (!FLAGS_platform.empty()) {
    is_up &= AddOpened(
        PlatformStandin::Open(FLAGS_platform, ReadFile(FLAGS_instances)),
        platforms);
  }
  for (const auto& address : SplitList(FLAGS_engines)) {
    is_up &= AddOpened(EngineStandin::Open({address, FLAGS_engine_slots,
                                            Duration(FLAGS_token_gap_us)}),
                       engines);
  }
  for (const auto& address : SplitList(FLAGS_services)) {
    is_up &= AddOpened(
        ServiceStandin::Open(address, Duration(FLAGS_service_work_us)),
        services);
  }
  if (!is_up) return kExitCannotStart;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace
}  // namespace papayaplank

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return papayaplank::Main();
}
