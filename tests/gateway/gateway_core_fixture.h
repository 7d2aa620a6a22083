// A core with a configuration and targets, and requests for it.
#ifndef TESTS_GATEWAY_GATEWAY_CORE_FIXTURE_H_
#define TESTS_GATEWAY_GATEWAY_CORE_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gateway/gateway.h"

namespace papayaplank {

inline const Time kStart(seconds(1000));

inline auto MakeRoute(const std::string& prefix, RequestKind kind) -> Route {
  Route route;
  route.name = prefix;
  route.host = "shop.example";
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = seconds(10);
  route.objective = milliseconds(400);
  route.max_attempts = 2;
  route.pools = {{PoolId("engines"), 1}};
  return route;
}

inline auto MakeTable(std::uint64_t version)
    -> std::shared_ptr<const RoutingTable> {
  RoutingDocument document;
  document.version = version;
  document.routes = {MakeRoute("/chat/", RequestKind::kStream),
                     MakeRoute("/order/", RequestKind::kNonIdempotent),
                     MakeRoute("/status/", RequestKind::kIdempotent)};
  Service engines;
  engines.id = PoolId("engines");
  engines.max_connections = 100;
  engines.engine = EngineLimits{8, 100000};
  document.services = {engines};
  document.has_customers = true;
  document.customer_of_key = {{"key-a", CustomerId("a")},
                              {"key-b", CustomerId("b")}};
  document.fleet_tokens_per_second = 10000;
  return std::make_shared<const RoutingTable>(document);
}

inline auto MakeTargets(int count) -> std::vector<TargetRow> {
  std::vector<TargetRow> rows;
  for (int i = 0; i < count; ++i) {
    TargetRow row;
    row.id = TargetId("t" + std::to_string(i));
    row.address = "127.0.0.1:" + std::to_string(9000 + i);
    row.pool = PoolId("engines");
    row.data_center = DataCenterId("west");
    row.slots = 8;
    row.started_unix_ms = 1;
    rows.push_back(row);
  }
  return rows;
}

inline auto MakeOptions(const std::string& address) -> GatewayOptions {
  GatewayOptions options;
  options.router = RouterId(address + "#1");
  options.started_unix_ms = 1;
  options.peer_address = address;
  options.caller_address = "c" + address;
  options.data_center = DataCenterId("west");
  options.retries = RetryBound{0.2, 20, seconds(10)};
  return options;
}

inline auto Facts(const std::string& path, const std::string& key,
                  double prompt_tokens = 0) -> RequestFacts {
  RequestFacts facts;
  facts.host = "shop.example";
  facts.path = path;
  facts.key = key;
  facts.prompt.prompt_tokens = prompt_tokens;
  if (prompt_tokens > 0) {
    facts.prompt.parts = {{7, prompt_tokens / 2}, {8, prompt_tokens / 2}};
    facts.prompt.expected_output_tokens = 50;
  }
  facts.caller_wait = seconds(12);
  return facts;
}

class GatewayCoreTest : public ::testing::Test {
 protected:
  auto Serve(int targets) -> void {
    core_.SetTable(MakeTable(1));
    core_.ConfirmConfiguration(kStart);
    core_.SetTargets(MakeTargets(targets), 1, kStart);
  }
  auto Accepted(const RequestFacts& facts, Time now = kStart)
      -> GatewayRequest {
    auto accepted = core_.Accept(facts, now);
    EXPECT_TRUE(std::holds_alternative<GatewayRequest>(accepted));
    return std::get<GatewayRequest>(accepted);
  }
  auto Reason(const GatewayCore::AcceptResult& accepted) -> RefusalReason {
    EXPECT_TRUE(std::holds_alternative<Refusal>(accepted));
    return std::get<Refusal>(accepted).reason;
  }

  GatewayCore core_{MakeOptions("10.0.0.1:1")};
};

}  // namespace papayaplank

#endif  // TESTS_GATEWAY_GATEWAY_CORE_FIXTURE_H_
