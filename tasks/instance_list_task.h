// Task that polls the instance list, which may be older than the actual state
// of the instances.
#ifndef TASKS_INSTANCE_LIST_TASK_H_
#define TASKS_INSTANCE_LIST_TASK_H_

#include <atomic>
#include <functional>
#include <thread>

#include "storage/storage.h"

namespace papayaplank {

// Polls the list every second and passes changed lists to a callback.
class InstanceListTask {
 public:
  // Called on the task's thread.
  using OnList = std::function<void(InstanceList)>;

  InstanceListTask(InstanceListClient client, OnList on_list);
  ~InstanceListTask();
  InstanceListTask(const InstanceListTask&) = delete;
  auto operator=(const InstanceListTask&) -> InstanceListTask& = delete;

 private:
  auto Run() -> void;

  InstanceListClient client_;
  OnList on_list_;
  bool is_list_available_ = true;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace papayaplank

#endif  // TASKS_INSTANCE_LIST_TASK_H_
