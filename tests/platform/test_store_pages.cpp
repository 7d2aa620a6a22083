// Pages of lists, and keys of other writers in them.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform.h"

namespace papayaplank {
namespace {

auto Page(const std::string& rows, bool is_truncated = true) -> std::string {
  return R"({"ver":9,"rows":[)" + rows + R"(],"truncated":)" +
         (is_truncated ? "true}" : "false}");
}

TEST(StorePageTest, TheNextPageBeginsAfterAnyKey) {
  EXPECT_EQ(ListRows("t", std::nullopt).path.find("from"), std::string::npos);
  for (const auto& [key, from] :
       std::vector<std::pair<std::string, std::string>>{
           {"", "&from=%00"},
           {"i-1", "&from=i-1%00"},
           {"a b&c=%d#e", "&from=a%20b%26c%3D%25d%23e%00"},
           {"\r\n\x01\x7f", "&from=%0D%0A%01%7F%00"},
           {"\xc3\xa9", "&from=%C3%A9%00"}}) {
    const auto path = ListRows("t", key).path;
    EXPECT_TRUE(path.ends_with(from)) << path;
  }
}

TEST(StorePageTest, APageThatEndsWithAnEmptyKeyHasANextOne) {
  const auto rows = DecodeStoreRows(Page(R"({"key":"","value":""})"));
  ASSERT_TRUE(IsOk(rows));
  EXPECT_EQ(ValueOf(rows).next_after, "");
  EXPECT_FALSE(ValueOf(DecodeStoreRows(Page("", false))).next_after);
}

TEST(StorePageTest, ACutPageWithoutAFurtherRowIsNoAnswer) {
  EXPECT_FALSE(IsOk(DecodeStoreRows(Page(""))));
  EXPECT_FALSE(IsOk(DecodeStoreRows(Page(R"({"value":"aGk="})"))));
  // The same page again would be read without end.
  EXPECT_FALSE(IsOk(DecodeStoreRows(Page(R"({"key":"a"})"), "a")));
  EXPECT_FALSE(IsOk(DecodeStoreRows(Page(R"({"key":"a"})"), "b")));
  EXPECT_TRUE(IsOk(DecodeStoreRows(Page(R"({"key":"c"})"), "b")));
}

TEST(StorePageTest, AKeyThatIsNoTextHidesNoOtherRow) {
  for (const std::string key :
       {"\xff", "a\xc0\x80", "\xed\xa0\x80", "\\udcff", "\\ud800", "\\ud800x",
        "\\ud800\\u0041", "\xf4\x90\x80\x80", "\xe2\x82"}) {
    const auto rows =
        DecodeStoreRows(Page(R"({"key":"a\\\"é","value":"aGk="},{"key":")" +
                             key + R"("},{"key":"\ud83d\ude00","value":""})"));
    ASSERT_TRUE(IsOk(rows)) << key;
    ASSERT_EQ(ValueOf(rows).rows.size(), 2U) << key;
    EXPECT_EQ(ValueOf(rows).unreadable_rows, 1U);
    EXPECT_EQ(ValueOf(rows).rows[0].key, "a\\\"\xc3\xa9");
    EXPECT_EQ(ValueOf(rows).rows[0].value, "hi");
    EXPECT_EQ(ValueOf(rows).next_after, "\xf0\x9f\x98\x80");
  }
}

}  // namespace
}  // namespace papayaplank
