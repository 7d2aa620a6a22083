// Public header of the config library: operators' documents, their validation,
// and the immutable configuration in force.
#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/configuration.h"
#include "config/document.h"

#endif  // CONFIG_CONFIG_H_
