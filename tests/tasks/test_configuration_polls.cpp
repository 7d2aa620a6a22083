// Tests that the routers of a fleet take turns to poll the table service for
// configuration changes, though all started together.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "tasks/tasks.h"

namespace papayaplank {
namespace {

// Of a fleet of the size to design for, in which each polls every 19 s. A few
// of its routers are enough.
constexpr std::size_t kFleetSize = 390;
constexpr int kTasks = 30;
// The users' bound on the time until a change is in force.
constexpr Duration kInForceBound = seconds(11);

// Times of the polls of all tasks.
class Polls {
 public:
  auto Record() -> void {
    const std::lock_guard lock(mutex_);
    times_.push_back(MonotonicClock::now());
  }
  auto Times() -> std::vector<Time> {
    const std::lock_guard lock(mutex_);
    auto times = times_;
    std::sort(times.begin(), times.end());
    return times;
  }

 private:
  std::mutex mutex_;
  std::vector<Time> times_;
};

auto MakeTask(Polls& polls, std::uint64_t seed)
    -> std::unique_ptr<ConfigurationTask> {
  const auto fetch = [&polls](const HttpRequest&) -> Outcome<HttpResponse> {
    polls.Record();
    return HttpResponse{200, R"({"rows":[]})"};
  };
  ConfigurationTaskHooks hooks;
  hooks.on_version_applied = [](ConfigVersion) {};
  hooks.fetch_from_peer = [](const std::string&) -> Outcome<std::string> {
    return Error{ErrorCode::kUnavailable, "no peer"};
  };
  hooks.router_count = [] { return kFleetSize; };
  return std::make_unique<ConfigurationTask>(
      ConfigurationStore(TableClient("table", fetch),
                         ObjectClient("objects", fetch)),
      std::move(hooks), seed);
}

// Routers that had started together polled together, every 19 s: a change that
// its own router could not tell of was in force too late.
TEST(ConfigurationPollsTest, RoutersThatStartTogetherTakeTurns) {
  Polls polls;
  const auto started_at = MonotonicClock::now();
  std::vector<std::unique_ptr<ConfigurationTask>> tasks;
  for (int i = 0; i < kTasks; ++i) {
    tasks.push_back(MakeTask(polls, static_cast<std::uint64_t>(i)));
  }
  std::this_thread::sleep_for(kInForceBound * 2);
  auto times = polls.Times();
  times.push_back(MonotonicClock::now());
  Duration longest_gap{};
  for (std::size_t i = 1; i < times.size(); ++i) {
    longest_gap = std::max(longest_gap, times[i] - times[i - 1]);
  }
  EXPECT_LT(longest_gap, kInForceBound)
      << "nobody polled for " << longest_gap.count() / 1000 << " ms of "
      << (MonotonicClock::now() - started_at).count() / 1000;
}

}  // namespace
}  // namespace papayaplank
