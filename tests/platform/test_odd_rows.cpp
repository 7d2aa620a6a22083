// Rows of other writers.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/platform.h"

namespace papayaplank {
namespace {

auto Nested(std::size_t levels) -> std::string {
  return std::string(levels, '[') + std::string(levels, ']');
}

// A target's row in which `member` has `value`, a JSON text; an empty one
// leaves the member out.
auto RowWith(const std::string& member, const std::string& value)
    -> std::string {
  const std::vector<std::pair<std::string, std::string>> members = {
      {"service", R"("s")"},
      {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},
      {"version", R"("v1")"},
      {"slots", "4"},
      {"state", R"("ready")"},
      {"cold-left-ms", "0"},
      {"seq", "3"},
      {"born", "1772707117173"},
  };
  std::string row = "{";
  for (const auto& [name, usual] : members) {
    const auto& text = name == member ? value : usual;
    if (text.empty()) continue;
    row += (row.size() > 1 ? ",\"" : "\"") + name + "\":" + text;
  }
  return row + "}";
}

auto IsRefused(const std::string& member, const std::string& value) -> bool {
  const auto row = DecodeTargetRow("i-1", RowWith(member, value));
  return !IsOk(row) && ErrorOf(row).message.find(member) != std::string::npos &&
         ErrorOf(row).message.size() < 300;
}

TEST(OddTargetRowTest, APlatformsRowNamesATarget) {
  const auto row = DecodeTargetRow("i-1", RowWith("", ""));
  ASSERT_TRUE(IsOk(row));
  EXPECT_EQ(ValueOf(row).slots, 4);
  EXPECT_EQ(ValueOf(row).reports, 3);
  EXPECT_EQ(ValueOf(row).started_unix_ms, 1772707117173);
  EXPECT_TRUE(IsOk(DecodeTargetRow("i-1", RowWith("born", ""))));
  EXPECT_TRUE(IsOk(DecodeTargetRow("i-1", RowWith("address", R"("::1:80")"))));
}

TEST(OddTargetRowTest, AnAddressThatCantBeConnectedIsRefused) {
  for (const std::string address : {"",
                                    ":",
                                    "shop.example:80",
                                    "10.0.0.1",
                                    "10.0.0.1:",
                                    "10.0.0.1:0",
                                    "10.0.0.1:-1",
                                    "10.0.0.1:65536",
                                    "10.0.0.1:99999",
                                    "10.0.0.1:4294967305",
                                    "10.0.0.1:http",
                                    "10.0.0.1: 80",
                                    "10.0.0.1:80 ",
                                    "10.0.0.1:+80",
                                    " 10.0.0.1:80",
                                    "10.0.0:80",
                                    "[::1]:80",
                                    "::1",
                                    "10.0.0.1\\u0000:80",
                                    "10.0.0.1:80\\r\\n"}) {
    EXPECT_TRUE(IsRefused("address", "\"" + address + "\"")) << address;
  }
  EXPECT_TRUE(IsRefused("address", "\"" + std::string(60000, '1') + ":80\""));
}

TEST(OddTargetRowTest, ANumberOutOfRangeIsRefused) {
  for (const std::string number :
       {"-1", "0.5", "1e300", "9223372036854775808", "18446744073709551615",
        "-9223372036854775808", "\"4\"", "true", "null", "[]", "{}"}) {
    for (const std::string member : {"slots", "seq", "born"}) {
      EXPECT_TRUE(IsRefused(member, number)) << member << " " << number;
    }
  }
  for (const std::string slots : {"0", "2147483647", "2147483648", "4294967296",
                                  "4294967300", "9223372036854775807"}) {
    EXPECT_TRUE(IsRefused("slots", slots)) << slots;
  }
  EXPECT_FALSE(IsOk(DecodeTargetRow("i-1", RowWith("slots", "1e999"))));
}

TEST(OddTargetRowTest, ANameThatFillsAMessageIsRefused) {
  const auto text = "\"" + std::string(60000, 'x') + "\"";
  for (const std::string member : {"service", "zone", "state"}) {
    EXPECT_TRUE(IsRefused(member, text)) << member;
    EXPECT_TRUE(IsRefused(member, R"("")")) << member;
  }
}

TEST(OddTargetRowTest, AMissingMemberIsRefused) {
  for (const std::string member : {"service", "address", "zone", "version",
                                   "slots", "state", "cold-left-ms", "seq"}) {
    EXPECT_TRUE(IsRefused(member, "")) << member;
    EXPECT_TRUE(IsRefused(member, "[1]")) << member;
  }
}

TEST(OddTargetRowTest, AnIdThatNoHeaderCarriesIsRefused) {
  const auto row = RowWith("", "");
  for (const std::string id :
       {"", " ", "a b", "a\r\nTenant: x", "a\tb", "\x01", "\x7f"}) {
    EXPECT_FALSE(IsOk(DecodeTargetRow(id, row))) << id;
  }
  EXPECT_FALSE(IsOk(DecodeTargetRow(std::string(1, '\0'), row)));
  EXPECT_FALSE(IsOk(DecodeTargetRow(std::string(201, 'a'), row)));
}

// Levels in a row, in an answer of the store, and in longer ones.
class NestedTextTest : public testing::TestWithParam<std::size_t> {};

TEST_P(NestedTextTest, NestedTextIsRefused) {
  const auto nested = Nested(GetParam());
  const std::string open(GetParam(), '[');
  for (const auto& text : {nested, open, "{\"a\":" + nested + "}"}) {
    EXPECT_FALSE(IsOk(DecodeTargetRow("i-1", text)));
    EXPECT_FALSE(IsOk(DecodeRouterRow(text)));
    EXPECT_FALSE(IsOk(DecodeQuarantineRow(text)));
    EXPECT_FALSE(IsOk(DecodeConfiguration(text)));
    EXPECT_FALSE(IsOk(DecodeStoreRows(text)));
  }
  for (const std::string member : {"service", "slots"}) {
    EXPECT_FALSE(IsOk(DecodeTargetRow("i-1", RowWith(member, nested))));
  }
  EXPECT_FALSE(IsOk(DecodeConfiguration(R"({"version":)" + nested + "}")));
  EXPECT_FALSE(
      IsOk(DecodeConfiguration(R"({"version":1,"x":)" + nested + "}")));
}

TEST(NestedTextTest, BracketsInTextsAreNoLevels) {
  const std::string brackets(1000, '[');
  const auto row = RowWith("version", R"("\\\")" + brackets + "\"");
  EXPECT_TRUE(IsOk(DecodeTargetRow("i-1", row))) << row;
  EXPECT_TRUE(
      IsOk(DecodeConfiguration(R"({"version":1,"x":)" + Nested(60) + "}")));
}

INSTANTIATE_TEST_SUITE_P(Levels, NestedTextTest,
                         testing::Values(30000, 200000, 2000000));

TEST(OddRouterRowTest, ARowThatNamesNoRouterIsRefused) {
  EXPECT_TRUE(IsOk(DecodeRouterRow(R"({"peer_address":"10.0.0.1:80"})")));
  for (const std::string address :
       {"", "router:80", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1"}) {
    EXPECT_FALSE(
        IsOk(DecodeRouterRow(R"({"peer_address":")" + address + "\"}")))
        << address;
  }
  for (const std::string cores : {"0", "-1", "1e300", "1e999", "\"2\"", "[]"}) {
    EXPECT_FALSE(IsOk(DecodeRouterRow(
        R"({"peer_address":"10.0.0.1:80","cores":)" + cores + "}")))
        << cores;
  }
  EXPECT_FALSE(
      IsOk(DecodeRouterRow(R"({"peer_address":"10.0.0.1:80","data_center":")" +
                           std::string(60000, 'x') + "\"}")));
}

TEST(OddQuarantineRowTest, ATimeBeforeTheStoresStartIsRefused) {
  EXPECT_TRUE(IsOk(DecodeQuarantineRow(R"({"evidence":"aGk=","store_ms":0})")));
  for (const std::string time :
       {"-1", "-9223372036854775808", "9223372036854775808", "1.5", "1e300"}) {
    EXPECT_FALSE(IsOk(
        DecodeQuarantineRow(R"({"evidence":"aGk=","store_ms":)" + time + "}")))
        << time;
  }
}

}  // namespace
}  // namespace papayaplank
