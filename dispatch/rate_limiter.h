// Token bucket of one customer at one router.
#ifndef DISPATCH_RATE_LIMITER_H_
#define DISPATCH_RATE_LIMITER_H_

#include <map>

#include "config/config.h"

namespace papayaplank {

// Whether a request is admitted, and when to come back if it is not.
struct Admission {
  bool is_admitted = true;
  Duration retry_after{};
};

// Buckets of the customers seen lately.
class RateLimiter {
 public:
  auto Admit(const Customer& customer, Time now) -> Admission;

 private:
  struct Bucket {
    // Between 0 and the customer's burst.
    double tokens = 0;
    Time filled_at{};
  };

  std::map<CustomerId, Bucket> buckets_;
};

}  // namespace papayaplank

#endif  // DISPATCH_RATE_LIMITER_H_
