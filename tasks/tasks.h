// Public header of the tasks library: the tasks of a router process and how
// they are connected. A task is a thread that owns its state; most tasks
// receive messages through a mailbox (base/mailbox.h).
#ifndef TASKS_TASKS_H_
#define TASKS_TASKS_H_

#include "tasks/configuration_task.h"
#include "tasks/router_process.h"

#endif  // TASKS_TASKS_H_
