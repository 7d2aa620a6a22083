// Instance lists with entries that name no instance.
#include <gtest/gtest.h>

#include <string>

#include "storage/storage.h"

namespace papayaplank {
namespace {

constexpr char kGood[] =
    R"({"id":"good","address":"10.0.0.1:80","pool":"p","slots":4})";

auto Parse(const std::string& entry) -> Outcome<InstanceList> {
  return ParseInstanceList(R"({"version":"1","targets":[)" + entry + "," +
                           kGood + R"(],"routers":[]})");
}

TEST(InstanceListTest, AnOddEntryHidesNoTarget) {
  const std::string nested =
      std::string(200000, '[') + std::string(200000, ']');
  for (const std::string& entry : {
           std::string("1"),
           std::string("null"),
           std::string("[]"),
           std::string("{}"),
           nested,
           R"({"id":)" + nested + "}",
           std::string(R"({"id":"t","address":"10.0.0.2:80","pool":"p",)"
                       R"("slots":0})"),
           std::string(R"({"id":"t","address":"10.0.0.2:80","pool":"p",)"
                       R"("slots":"4"})"),
           std::string(R"({"id":"t","address":"10.0.0.2:99999","pool":"p"})"),
           std::string(R"({"id":"t","address":"10.0.0.2:0","pool":"p"})"),
           std::string(R"({"id":"t","address":"10.0.0.2","pool":"p"})"),
           std::string(R"({"id":"t","address":"10.0.0.2:x","pool":"p"})"),
           std::string(R"({"id":"a b","address":"10.0.0.2:80","pool":"p"})"),
           std::string(R"({"id":"a\r\nb","address":"10.0.0.2:80","pool":"p"})"),
       }) {
    const auto list = Parse(entry);
    ASSERT_TRUE(IsOk(list)) << entry.substr(0, 80);
    ASSERT_EQ(ValueOf(list).targets.size(), 1U) << entry.substr(0, 80);
    EXPECT_EQ(ValueOf(list).targets[0].id, TargetId("good"));
    ASSERT_EQ(ValueOf(list).unusable.size(), 1U);
    EXPECT_LT(ValueOf(list).unusable[0].size(), 500U);
  }
}

TEST(InstanceListTest, SlotsOutOfRangeNameNoTarget) {
  for (const std::string slots :
       {"-1", "100001", "2147483648", "4294967297", "9223372036854775807",
        "18446744073709551615", "1.5", "1e300"}) {
    const auto list =
        Parse(R"({"id":"t","address":"10.0.0.2:80","pool":"p","slots":)" +
              slots + "}");
    ASSERT_TRUE(IsOk(list)) << slots;
    EXPECT_EQ(ValueOf(list).targets.size(), 1U) << slots;
  }
}

TEST(InstanceListTest, AListThatIsNoneIsAnError) {
  for (const std::string text :
       {"", "[]", "{}", R"({"targets":1})", R"({"targets":[1e999]})"}) {
    EXPECT_FALSE(IsOk(ParseInstanceList(text))) << text;
  }
  const std::string nested(2000000, '[');
  EXPECT_FALSE(IsOk(ParseInstanceList(R"({"targets":)" + nested)));
}

TEST(InstanceListTest, OddRoutersAreLeftOut) {
  const auto list = ParseInstanceList(
      R"({"targets":[],"routers":[1,[],{},{"gossip_address":7},
      {"gossip_address":"10.0.0.1:99999"},{"gossip_address":"10.0.0.1:7"}]})");
  ASSERT_TRUE(IsOk(list));
  ASSERT_EQ(ValueOf(list).gossip_addresses.size(), 1U);
  EXPECT_TRUE(IsOk(ParseInstanceList(R"({"targets":[],"routers":7})")));
}

}  // namespace
}  // namespace papayaplank
