// Builds the indexes of a routing table and looks up routes, customers and
// services.
#include "routing/routing_table.h"

#include <algorithm>

namespace papayaplank {

RoutingTable::RoutingTable(RoutingDocument document)
    : document_(std::move(document)) {
  const auto& routes = document_.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_host_[routes[i].host].push_back(i);
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&routes](std::size_t a, std::size_t b) {
                       return routes[a].prefix.size() > routes[b].prefix.size();
                     });
  }
  for (std::size_t i = 0; i < document_.services.size(); ++i) {
    services_[document_.services[i].id] = i;
  }
}

auto RoutingTable::FindRoute(std::string_view host, std::string_view path) const
    -> const Route* {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return nullptr;
  for (const auto index : found->second) {
    const auto& route = document_.routes[index];
    if (path.substr(0, route.prefix.size()) == route.prefix) return &route;
  }
  return nullptr;
}

auto RoutingTable::FindCustomer(const std::string& key) const
    -> const CustomerId* {
  const auto found = document_.customer_of_key.find(key);
  return found == document_.customer_of_key.end() ? nullptr : &found->second;
}

auto RoutingTable::IsHome(const Route& route, const CustomerId& customer,
                          const RegionId& region) const -> bool {
  const auto names = [&region](const std::vector<RegionId>& regions) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  };
  if (!names(route.home_regions)) return false;
  const auto found = document_.home_regions.find(customer);
  return found == document_.home_regions.end() || names(found->second);
}

auto RoutingTable::IsHomeOfHost(std::string_view host,
                                const RegionId& region) const -> bool {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return true;
  return std::all_of(found->second.begin(), found->second.end(),
                     [&](std::size_t index) {
                       return IsHome(document_.routes[index], {}, region);
                     });
}

auto RoutingTable::FindService(const PoolId& id) const -> const Service* {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr
                                  : &document_.services[found->second];
}

}  // namespace papayaplank
