// A target as the instance list describes it.
#ifndef PLACEMENT_TARGET_H_
#define PLACEMENT_TARGET_H_

#include <string>

#include "base/base.h"

namespace papayaplank {

// A model runner or a plain service instance.
struct TargetInfo {
  TargetId id;
  // IP number and port, as in "127.0.0.1:9000".
  std::string address;
  DataCenterId data_center;
  RegionId region;
  // The model or service that it serves.
  PoolId pool;
  // Requests that it takes at once; a start value for the adaptive limit.
  int slots = 1;
  // A plain service costs one unit a request and streams no tokens.
  bool is_service = false;
  // Whether it refuses an order with an old fencing number.
  bool checks_fencing = false;
  bool is_leaving = false;
};

}  // namespace papayaplank

#endif  // PLACEMENT_TARGET_H_
