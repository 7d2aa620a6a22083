// Selection of routers for callers by data centre and load.
#include "gateway/caller_steering.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// A caller that knows only one router has no alternative when it fails.
constexpr std::size_t kMinRouters = 2;
// Diverting routers are left out only while they are at most this share of
// all. Beyond it the fleet as a whole is loaded, and leaving some out would
// overload the others.
constexpr double kMaxDivertingShare = 0.34;
// A caller gets this share of the routers, but not fewer than `kMinChosen`, so
// that a few that fail leave it others.
constexpr double kChosenShare = 1.0 / 3;
constexpr std::size_t kMinChosen = 8;
// Of routers that state none.
constexpr double kMinCores = 0.01;

// Null `data_center` means all data centres.
auto Select(const std::vector<ServingRouter>& serving,
            const DataCenterId* data_center, bool with_diverting)
    -> std::vector<const ServingRouter*> {
  std::vector<const ServingRouter*> selected;
  for (const auto& router : serving) {
    if (data_center != nullptr && router.data_center != *data_center) continue;
    if (router.diverts_callers && !with_diverting) continue;
    selected.push_back(&router);
  }
  return selected;
}

// Weighted rendezvous hashing: a router is chosen for a share of the callers
// that grows with its cores, and a caller's choice changes only with the
// routers that join or leave it.
auto Rank(const ServingRouter& router, std::uint64_t caller) -> double {
  const auto hash = StableHash(router.caller_address, caller);
  const auto uniform = (static_cast<double>(hash) + 1) / std::pow(2.0, 64);
  return -std::log(uniform) / std::max(router.cores, kMinCores);
}

auto ChooseForCaller(const std::vector<const ServingRouter*>& routers,
                     std::string_view caller) -> std::vector<std::string> {
  const auto seed = StableHash(caller);
  std::vector<std::pair<double, const ServingRouter*>> ranks;
  ranks.reserve(routers.size());
  for (const auto* router : routers) {
    ranks.emplace_back(Rank(*router, seed), router);
  }
  std::sort(ranks.begin(), ranks.end());
  const auto share =
      std::ceil(kChosenShare * static_cast<double>(ranks.size()));
  const auto wanted = std::max(kMinChosen, static_cast<std::size_t>(share));
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < std::min(wanted, ranks.size()); ++i) {
    addresses.push_back(ranks[i].second->caller_address);
  }
  return addresses;
}

}  // namespace

auto IsFleetLoaded(const std::vector<ServingRouter>& serving) -> bool {
  const auto diverting = std::count_if(
      serving.begin(), serving.end(),
      [](const ServingRouter& router) { return router.diverts_callers; });
  return static_cast<double>(diverting) >
         kMaxDivertingShare * static_cast<double>(serving.size());
}

auto ChooseCallerAddresses(const std::vector<ServingRouter>& serving,
                           const DataCenterId& near, std::string_view caller)
    -> std::vector<std::string> {
  const auto with_diverting = IsFleetLoaded(serving);
  auto selected = Select(serving, &near, with_diverting);
  if (selected.size() < kMinRouters) {
    selected = Select(serving, nullptr, with_diverting);
  }
  if (selected.size() < kMinRouters) selected = Select(serving, nullptr, true);
  return ChooseForCaller(selected, caller);
}

}  // namespace papayaplank
