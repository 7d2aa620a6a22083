// Hands out permits for the limited targets that this router owns: one permit
// is the right of some router to send one request. Load pattern: many routers
// that each have few requests for a target, where a part of the limit for each
// of them would be unused at most and too little at some.
#ifndef ADMISSION_PERMIT_ISSUER_H_
#define ADMISSION_PERMIT_ISSUER_H_

#include <cstdint>
#include <unordered_map>

#include "admission/target_limits.h"
#include "base/base.h"

namespace papayaplank {

// How long a permit is valid after it was requested.
inline constexpr Duration kPermitLifetime = milliseconds(500);

// Who is served first while permits are short.
enum class PermitClass {
  kWithinShare,  // A customer that has had no more than its fair share.
  kOverShare,    // One that gets what the others leave.
};

// One token bucket for each owned target. A bucket starts empty and stays
// closed until permits of a former owner have lapsed, so that a change of
// owners allows no burst.
class PermitIssuer {
 public:
  // The part of each limit that this router may hand out, 0 to 1.
  auto SetShare(double share) -> void { share_ = share; }
  // This router has become the owner, unless it was before.
  auto Own(const TargetId& target, Time now) -> void;
  auto Disown(const TargetId& target) -> void { buckets_.erase(target); }
  auto Owns(const TargetId& target) const -> bool {
    return buckets_.count(target) != 0;
  }
  // The process was paused: what was handed out meanwhile is unknown.
  auto Restart(Time now) -> void;

  // Whether a permit is left. Only for owned targets, as is the rest.
  auto HasPermit(const TargetId& target, RequestRate limit,
                 PermitClass permit_class, Time now) -> bool;
  // Takes a permit if one is left; whether it did.
  auto Issue(const TargetId& target, RequestRate limit,
             PermitClass permit_class, Time now) -> bool;
  // Time until it is worth asking again. Counts the refusal: the more routers
  // ask in vain, the later each is to return.
  auto TimeToNext(const TargetId& target, RequestRate limit,
                  PermitClass permit_class, Time now) -> Duration;

  auto issued() const -> std::uint64_t { return issued_; }
  auto refused() const -> std::uint64_t { return refused_; }

 private:
  struct Bucket {
    double permits = 0;
    // Not before the bucket opens.
    Time filled_at{};
    // Refusals since the last permit.
    int refused = 0;
  };

  auto Rate(RequestRate limit) const -> double;
  // Permits that the bucket must hold for one to be handed out.
  auto Level(RequestRate limit, PermitClass permit_class) const -> double;
  auto Fill(const TargetId& target, RequestRate limit, Time now) -> Bucket&;

  double share_ = 1;
  std::unordered_map<TargetId, Bucket> buckets_;
  std::uint64_t issued_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace papayaplank

#endif  // ADMISSION_PERMIT_ISSUER_H_
