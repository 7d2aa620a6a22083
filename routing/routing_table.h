// One version of the operator's configuration: routes, services, customers.
#ifndef ROUTING_ROUTING_TABLE_H_
#define ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// Whether a request may be retried, and how its answer arrives.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kStream,  // Not idempotent unless the route is resumable.
};

// A pool that a route sends to. Its share of the route's requests is its
// weight divided by the sum of all weights.
struct WeightedPool {
  PoolId pool;
  double weight = 1;
};

// Requests of one host below one path prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // A broken stream may continue at another target after its last event.
  bool is_resumable = false;
  // Served without a key.
  bool is_public = false;
  // Longest time until the complete answer; zero means no bound.
  Duration timeout{};
  // Latency objective: time to the first event, or to the complete answer. An
  // answer within it has its full value.
  Duration objective = seconds(1);
  // Attempts that may run one request, the first included; at least 1.
  int max_attempts = 1;
  // Never empty.
  std::vector<WeightedPool> pools;
  // Regions whose targets may execute its requests; empty means all.
  std::vector<RegionId> home_regions;
};

// Limits of a model engine, the same for all targets of a service.
struct EngineLimits {
  int slots = 1;
  // Tokens of running requests and cached prompt parts together.
  double memory_tokens = 0;
};

// The configuration of a pool of equal targets. A service and its pool have the
// same id.
struct Service {
  PoolId id;
  // Connections that one target accepts from all routers together; zero if not
  // stated.
  int max_connections = 0;
  // How long a target is cold after it starts, and the requests a second that
  // it tolerates meanwhile from all routers together; zero if it tolerates all.
  Duration cold_time{};
  double cold_requests_per_second = 0;
  // Set for model engines only.
  std::optional<EngineLimits> engine;
};

// Bounds on what a caller may send.
struct CallerLimits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 4194304;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

// The contents of a configuration; `RoutingTable` adds the indexes.
struct RoutingDocument {
  std::uint64_t version = 0;
  // The document as the operator wrote it, for snapshots to peers whose store
  // calls fail.
  std::string source;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  // Token throughput of all engines together; zero if not stated.
  double fleet_tokens_per_second = 0;
  // Whether requests need a key at all.
  bool has_customers = false;
  std::unordered_map<std::string, CustomerId> customer_of_key;
  // Regions whose targets may execute a customer's requests, for customers that
  // have such.
  std::unordered_map<CustomerId, std::vector<RegionId>> home_regions;
};

// An immutable version of the configuration.
class RoutingTable {
 public:
  explicit RoutingTable(RoutingDocument document);

  // The route of the host with the longest prefix of `path`, or null.
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const Route*;
  // The customer that holds the key, or null.
  auto FindCustomer(const std::string& key) const -> const CustomerId*;
  auto FindService(const PoolId& id) const -> const Service*;
  // Whether targets in the region may execute the customer's requests on the
  // route. Where both have home regions, both bind.
  auto IsHome(const Route& route, const CustomerId& customer,
              const RegionId& region) const -> bool;
  // Whether the region is a home region of each route of the host that has
  // such.
  auto IsHomeOfHost(std::string_view host, const RegionId& region) const
      -> bool;

  auto version() const -> std::uint64_t { return document_.version; }
  auto limits() const -> const CallerLimits& { return document_.limits; }
  auto document() const -> const RoutingDocument& { return document_; }

 private:
  RoutingDocument document_;
  // Indexes of routes by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
  std::map<PoolId, std::size_t> services_;
};

}  // namespace papayaplank

#endif  // ROUTING_ROUTING_TABLE_H_
