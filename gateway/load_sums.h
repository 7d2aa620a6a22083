// Sums of the requests that other routers have at each target.
#ifndef GATEWAY_LOAD_SUMS_H_
#define GATEWAY_LOAD_SUMS_H_

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/peer_messages.h"

namespace papayaplank {

// Adds up the loads of several sources, each of which replaces its own loads by
// newer ones. The sum of a target costs the same however many sources there
// are.
class LoadSums {
 public:
  // A source is a router, or a hub's sum over several.
  auto Replace(const RouterId& source, TargetLoads loads, Time now) -> void;
  // Drops the sources that no message confirmed for a while.
  auto DropSilent(Time now) -> void;
  auto Clear() -> void;

  auto Sum(std::uint32_t target) const -> LoadShare;
  // The targets whose sum is not zero.
  auto All() const -> TargetLoads;
  auto has_source(const RouterId& source) const -> bool {
    return sources_.count(source) != 0;
  }
  auto source_count() const -> std::size_t { return sources_.size(); }
  // Targets whose sum has changed since the last call.
  auto TakeChanged() -> std::vector<std::uint32_t>;

 private:
  struct Source {
    TargetLoads loads;
    Time received_at{};
  };

  auto Add(const TargetLoads& loads, int sign) -> void;

  std::unordered_map<RouterId, Source> sources_;
  // Exactly the sums of the loads in `sources_`; without zeros.
  std::unordered_map<std::uint32_t, LoadShare> sums_;
  std::unordered_set<std::uint32_t> changed_;
};

}  // namespace papayaplank

#endif  // GATEWAY_LOAD_SUMS_H_
