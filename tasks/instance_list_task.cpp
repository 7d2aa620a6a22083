// Polls the instance list.
#include "tasks/instance_list_task.h"

#include <glog/logging.h>

#include <string>
#include <utility>
#include <vector>

namespace papayaplank {
namespace {

constexpr Duration kPollPeriod = seconds(1);
constexpr Duration kStopCheckPeriod = milliseconds(50);

// Only one of them, as a list may be read every second.
auto LogUnusable(const std::vector<std::string>& unusable) -> void {
  if (unusable.empty()) return;
  LOG(WARNING) << "event=target_row_malformed count=" << unusable.size()
               << " first=\"" << unusable.front() << "\"";
}

}  // namespace

InstanceListTask::InstanceListTask(InstanceListClient client, OnList on_list)
    : client_(std::move(client)),
      on_list_(std::move(on_list)),
      thread_([this] { Run(); }) {}

InstanceListTask::~InstanceListTask() {
  is_stopping_ = true;
  thread_.join();
}

auto InstanceListTask::Run() -> void {
  auto next_poll = MonotonicClock::now();
  while (!is_stopping_) {
    if (MonotonicClock::now() < next_poll) {
      std::this_thread::sleep_for(kStopCheckPeriod);
      continue;
    }
    next_poll = MonotonicClock::now() + kPollPeriod;
    auto list = client_.ReadIfChanged();
    if (IsOk(list) != is_list_available_) {
      is_list_available_ = IsOk(list);
      LOG(WARNING) << "event=instance_list state="
                   << (is_list_available_ ? "up" : "down");
    }
    if (IsOk(list) && ValueOf(list)) LogUnusable(ValueOf(list)->unusable);
    // Without an answer, the previous list stays in use.
    if (IsOk(list) && ValueOf(list)) on_list_(std::move(*ValueOf(list)));
  }
}

}  // namespace papayaplank
