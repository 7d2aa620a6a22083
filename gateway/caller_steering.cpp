// Selection of routers for callers by data centre and load.
#include "gateway/caller_steering.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A caller that knows only one router has no alternative when it fails.
constexpr std::size_t kMinRouters = 2;
// Diverting routers are left out only while they are at most this share of
// all. Beyond it the fleet as a whole is loaded, and leaving some out would
// overload the others.
constexpr double kMaxDivertingShare = 0.34;

// Null `data_center` means all data centres.
auto Addresses(const std::vector<ServingRouter>& serving,
               const DataCenterId* data_center, bool with_diverting)
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& router : serving) {
    if (data_center != nullptr && router.data_center != *data_center) continue;
    if (router.diverts_callers && !with_diverting) continue;
    addresses.push_back(router.caller_address);
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
                           const DataCenterId& near)
    -> std::vector<std::string> {
  const auto with_diverting = IsFleetLoaded(serving);
  auto addresses = Addresses(serving, &near, with_diverting);
  if (addresses.size() < kMinRouters) {
    addresses = Addresses(serving, nullptr, with_diverting);
  }
  if (addresses.size() < kMinRouters) {
    addresses = Addresses(serving, nullptr, true);
  }
  return addresses;
}

}  // namespace papayaplank
