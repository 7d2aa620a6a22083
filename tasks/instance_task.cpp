// Polling of the instance list.
#include "tasks/instance_task.h"

#include <glog/logging.h>

#include <utility>

namespace papayaplank {
namespace {

constexpr Duration kPollPeriod = seconds(1);
constexpr Duration kStopCheck = milliseconds(50);

}  // namespace

InstanceTask::InstanceTask(InstanceListClient client, OnList on_list)
    : client_(std::move(client)),
      on_list_(std::move(on_list)),
      thread_([this] { Run(); }) {}

InstanceTask::~InstanceTask() {
  is_stopping_ = true;
  thread_.join();
}

auto InstanceTask::Run() -> void {
  auto next_poll = MonotonicClock::now();
  while (!is_stopping_) {
    if (MonotonicClock::now() < next_poll) {
      std::this_thread::sleep_for(kStopCheck);
      continue;
    }
    next_poll = MonotonicClock::now() + kPollPeriod;
    auto list = client_.ReadChange();
    if (IsOk(list) != is_up_) {
      is_up_ = IsOk(list);
      LOG(WARNING) << "event=instance_list state=" << (is_up_ ? "up" : "down");
    }
    // Without an answer, the list that was read last stays.
    if (IsOk(list) && ValueOf(list)) on_list_(std::move(*ValueOf(list)));
  }
}

}  // namespace papayaplank
