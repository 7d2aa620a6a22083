// Tests of the version history in the table service.
#include <gtest/gtest.h>

#include "storage/storage.h"

namespace papayaplank {
namespace {

// A table whose newest accepted version is 5, without changes after it.
auto MakeStore() -> ConfigurationStore {
  const auto fetch = [](const HttpRequest&) -> Outcome<HttpResponse> {
    return HttpResponse{200, R"({"rows":[{"key":"config/head","version":9,)"
                             R"("value":"{\"version\":5}"}]})"};
  };
  return ConfigurationStore(TableClient("table", fetch),
                            ObjectClient("objects", fetch));
}

TEST(ConfigurationStoreTest, TheNewestVersionHasNoLaterChanges) {
  const auto changes = MakeStore().ReadChanges(ConfigVersion(5), 10);
  ASSERT_TRUE(IsOk(changes));
  EXPECT_TRUE(ValueOf(changes).empty());
}

// A table that came back from an older copy was taken for the newest history,
// and confirmed a version that it doesn't have.
TEST(ConfigurationStoreTest, AHistoryThatEndsTooEarlyIsAnError) {
  const auto changes = MakeStore().ReadChanges(ConfigVersion(7), 10);
  ASSERT_FALSE(IsOk(changes));
  EXPECT_EQ(ErrorOf(changes).code, ErrorCode::kConflict);
  EXPECT_NE(ErrorOf(changes).message.find("version 5, before version 7"),
            std::string::npos)
      << ErrorOf(changes).message;
}

}  // namespace
}  // namespace papayaplank
