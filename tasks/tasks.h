// Public header of the tasks library: the threads of a router process and how
// they are connected.
#ifndef TASKS_TASKS_H_
#define TASKS_TASKS_H_

#include "tasks/router_process.h"

#endif  // TASKS_TASKS_H_
