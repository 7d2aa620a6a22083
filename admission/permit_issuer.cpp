// Token buckets of the owned targets.
#include "admission/permit_issuer.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Least rate at which a limited target is tried, requests per second: only an
// answer can tell that a limit of zero has ended.
constexpr double kLeastRate = 0.1;
// Share of that burst which customers over their share leave to the others:
// they get a permit when nobody else has wanted one for a moment.
constexpr double kReservedShare = 0.8;
// Routers that ask in vain return at such times that about this many ask for
// each permit.
constexpr double kAskersPerPermit = 4;
constexpr Duration kLongestWait = seconds(2);

}  // namespace

auto PermitIssuer::Own(const TargetId& target, Time now) -> void {
  const auto [entry, is_new] = buckets_.try_emplace(target);
  if (is_new) entry->second.filled_at = now + kPermitLifetime;
}

auto PermitIssuer::Restart(Time now) -> void {
  for (auto& [target, bucket] : buckets_) {
    bucket = Bucket{0, now + kPermitLifetime, 0};
  }
}

auto PermitIssuer::Rate(RequestRate limit) const -> double {
  return std::max(limit.per_second * share_, kLeastRate);
}

auto PermitIssuer::Level(RequestRate limit, PermitClass permit_class) const
    -> double {
  if (permit_class == PermitClass::kWithinShare) return 1;
  return 1 + Rate(limit) * limit.burst_seconds * kReservedShare;
}

auto PermitIssuer::Fill(const TargetId& target, RequestRate limit, Time now)
    -> Bucket& {
  auto& bucket = buckets_.at(target);
  const auto elapsed =
      std::chrono::duration<double>(now - bucket.filled_at).count();
  if (elapsed <= 0) return bucket;
  const auto rate = Rate(limit);
  bucket.permits =
      std::min(bucket.permits + rate * elapsed, 1 + rate * limit.burst_seconds);
  bucket.filled_at = now;
  return bucket;
}

auto PermitIssuer::HasPermit(const TargetId& target, RequestRate limit,
                             PermitClass permit_class, Time now) -> bool {
  return Fill(target, limit, now).permits >= Level(limit, permit_class);
}

auto PermitIssuer::Issue(const TargetId& target, RequestRate limit,
                         PermitClass permit_class, Time now) -> bool {
  auto& bucket = Fill(target, limit, now);
  if (bucket.permits < Level(limit, permit_class)) return false;
  bucket.permits -= 1;
  bucket.refused = 0;
  ++issued_;
  return true;
}

auto PermitIssuer::TimeToNext(const TargetId& target, RequestRate limit,
                              PermitClass permit_class, Time now) -> Duration {
  auto& bucket = Fill(target, limit, now);
  ++bucket.refused;
  ++refused_;
  const auto missing =
      std::max(0.0, Level(limit, permit_class) - bucket.permits);
  const auto turns = missing + bucket.refused / kAskersPerPermit;
  const auto wait = Scale(seconds(1), turns / Rate(limit)) +
                    std::max(Duration{}, bucket.filled_at - now);
  return std::min<Duration>(wait, kLongestWait);
}

}  // namespace papayaplank
