// Description of a target in the instance list.
#ifndef PLACEMENT_TARGET_H_
#define PLACEMENT_TARGET_H_

#include <string>

#include "base/base.h"

namespace papayaplank {

// A model engine or a plain service that requests are sent to.
struct TargetInfo {
  TargetId id;
  // IP address and port, as in "127.0.0.1:9000".
  std::string address;
  DataCenterId data_center;
  RegionId region;
  // The model or service that it serves.
  PoolId pool;
  // Number of requests that it serves at once; the adaptive limit starts there.
  int slots = 1;
  // A plain service costs one unit a request and streams no tokens.
  bool is_service = false;
  // Whether it refuses a request with an outdated fencing number.
  bool checks_fencing = false;
  bool is_leaving = false;
};

}  // namespace papayaplank

#endif  // PLACEMENT_TARGET_H_
