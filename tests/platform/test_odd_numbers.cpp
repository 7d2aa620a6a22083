// Numbers out of range in documents and headers.
#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <string_view>

#include "platform/platform.h"

namespace papayaplank {
namespace {

TEST(OddConfigurationTest, NumbersOutOfRangeStayWithinTheirTypes) {
  for (const std::string number :
       {"-1", "-1e300", "1e300", "2147483648", "4294967296",
        "9223372036854775807", "18446744073709551615"}) {
    const auto text =
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",
        "route-kind":"idempotent","service":"s","timeout-ms":N,"goal-ms":N,
        "max-attempts":N,"split":[{"service":"s","weight":N}]}],
        "services":[{"name":"s","max-conns":N,
        "engine":{"slots":N,"kv-capacity":N}}],
        "limits":{"max-header-bytes":N,"max-body-bytes":N,
        "header-timeout-ms":N,"idle-timeout-ms":N,"tokens-per-s":N}})";
    std::string filled;
    for (const char c : std::string_view(text)) {
      filled += c == 'N' ? number : std::string(1, c);
    }
    const auto decoded = DecodeConfiguration(filled);
    ASSERT_TRUE(IsOk(decoded)) << number;
    const auto& document = ValueOf(decoded);
    const auto& route = document.routes.at(0);
    EXPECT_GE(route.timeout, Duration{}) << number;
    EXPECT_LE(route.timeout, std::chrono::hours(24)) << number;
    EXPECT_GT(route.objective, Duration{}) << number;
    EXPECT_LE(route.objective, std::chrono::hours(24)) << number;
    EXPECT_GE(route.max_attempts, 1) << number;
    EXPECT_GE(document.services.at(0).max_connections, 0) << number;
    EXPECT_GE(document.services.at(0).engine->slots, 1) << number;
    EXPECT_GE(document.services.at(0).engine->memory_tokens, 0) << number;
    EXPECT_GE(document.fleet_tokens_per_second, 0) << number;
    EXPECT_LE(document.fleet_tokens_per_second, 1e15) << number;
    EXPECT_GE(document.limits.header_bytes, 16384U) << number;
    EXPECT_LE(document.limits.header_bytes,
              std::numeric_limits<std::uint32_t>::max())
        << number;
    EXPECT_GE(document.limits.body_bytes, 4194304U) << number;
    EXPECT_GT(document.limits.header_timeout, Duration{}) << number;
    EXPECT_GT(document.limits.idle_timeout, Duration{}) << number;
  }
}

TEST(OddConfigurationTest, AVersionOutOfRangeIsRejected) {
  for (const std::string version :
       {"-1", "1.5", "9223372036854775808", "18446744073709551615", "1e999"}) {
    EXPECT_FALSE(IsOk(DecodeConfiguration(R"({"version":)" + version + "}")))
        << version;
  }
}

TEST(OddHeaderTest, HugeNumbersStayWithinTheirTypes) {
  const std::string huge = "9223372036854775807";
  const auto request =
      DecodeCallerRequest("POST", "/p/1",
                          {{"Deadline-Ms", huge},
                           {"Token-Counts", huge + "," + huge},
                           {"Length-Hint", huge},
                           {"Prefix-Hash", "5c1e07a2:" + huge}});
  EXPECT_EQ(request.caller_wait, std::chrono::hours(24));
  EXPECT_EQ(request.prompt.prompt_tokens, 1e9);
  EXPECT_EQ(request.prompt.expected_output_tokens, 1e9);
  EXPECT_EQ(request.prompt.parts.at(0).tokens, 1e9);
  EXPECT_EQ(
      DecodeTargetAnswer(200, {{"Keep-Alive", "timeout=" + huge}}).keep_alive,
      std::chrono::hours(24));
}

}  // namespace
}  // namespace papayaplank
