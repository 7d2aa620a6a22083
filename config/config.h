// Public header of the config library: operators' documents, their checks,
// and the immutable configuration that is in force.
#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/configuration.h"
#include "config/document.h"

#endif  // CONFIG_CONFIG_H_
