// Limits the request rate of each customer at one router by a token bucket.
#ifndef DISPATCH_RATE_LIMITER_H_
#define DISPATCH_RATE_LIMITER_H_

#include <map>

#include "config/config.h"

namespace papayaplank {

// Whether a request is admitted, and if not, after which time to retry.
struct Admission {
  bool is_admitted = true;
  Duration retry_after{};
};

// The token buckets of customers with recent requests.
class RateLimiter {
 public:
  // Takes one token from the customer's bucket if there is one.
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
