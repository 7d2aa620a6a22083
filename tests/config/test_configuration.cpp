// Configuration documents: validation, and that all errors are reported at
// once.
#include <gtest/gtest.h>

#include "config/config.h"

namespace papayaplank {
namespace {

// A template "workshop" with two classes for the pool "desk", and its customer
// "guild".
constexpr const char* kChange = R"({
  "format": 1,
  "templates": [{
    "name": "workshop",
    "parameters": [{"name": "weight", "type": "number", "minimum": 1,
                    "maximum": 10, "default": 2}],
    "weight": {"parameter": "weight"},
    "classes": [
      {"name": "capture", "match": {"method": "POST", "path_prefix": "/pay"},
       "pool": "desk", "idempotent": false, "deadline_ms": 5000},
      {"name": "lookup", "pool": "desk", "idempotent": true}]}],
  "customers": [{"name": "guild", "template": "workshop",
    "parameters": {"weight": 4},
    "key_hashes": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]
})";

auto ApplyFirstChange() -> Configuration {
  return std::get<Configuration>(
      Configuration().Apply(kChange, ConfigVersion(1)));
}

auto ErrorsOfChange(const Configuration& base, const std::string& change)
    -> std::vector<DocumentError> {
  auto result = base.Apply(change, ConfigVersion(2));
  if (auto* errors = std::get_if<std::vector<DocumentError>>(&result)) {
    return *errors;
  }
  return {};
}

auto HasErrorAt(const std::vector<DocumentError>& errors,
                const std::string& pointer) -> bool {
  for (const auto& error : errors) {
    if (error.pointer == pointer) return true;
  }
  return false;
}

TEST(ConfigurationTest, AppliesParameterValues) {
  const auto configuration = ApplyFirstChange();
  const auto customer = configuration.FindCustomer(CustomerId("guild"));
  ASSERT_NE(customer, nullptr);
  EXPECT_EQ(customer->weight.value, 4);
  EXPECT_EQ(configuration.FindByKeyHash(std::string(64, 'a')), customer);
  EXPECT_EQ(configuration.FindByKeyHash(std::string(64, 'b')), nullptr);
}

TEST(ConfigurationTest, MatchesTheFirstClassThatFits) {
  const auto configuration = ApplyFirstChange();
  const auto customer = configuration.FindCustomer(CustomerId("guild"));
  EXPECT_EQ(MatchClass(*customer, "POST", "/pay/1", "")->id,
            ClassId("capture"));
  EXPECT_EQ(MatchClass(*customer, "GET", "/pay/1", "")->id, ClassId("lookup"));
}

TEST(ConfigurationTest, ReportsEveryErrorWithItsPointer) {
  const auto errors =
      ErrorsOfChange(Configuration(), R"({"format": 2, "extra": 1,
    "templates": [{"name": "bad name", "weight": 0, "classes": []}],
    "customers": [{"name": "c", "template": "none", "key_hashes": ["x"]}]})");
  EXPECT_TRUE(HasErrorAt(errors, "/format"));
  EXPECT_TRUE(HasErrorAt(errors, "/extra"));
  EXPECT_TRUE(HasErrorAt(errors, "/templates/0/name"));
  EXPECT_TRUE(HasErrorAt(errors, "/templates/0/weight"));
  EXPECT_TRUE(HasErrorAt(errors, "/templates/0/classes"));
  EXPECT_TRUE(HasErrorAt(errors, "/customers/0/key_hashes/0"));
}

TEST(ConfigurationTest, RefusesTemplateChangeThatBreaksACustomer) {
  const auto errors =
      ErrorsOfChange(ApplyFirstChange(), R"({"format": 1, "templates": [{
    "name": "workshop", "parameters": [{"name": "weight", "type": "number",
    "minimum": 1, "maximum": 3, "default": 1}],
    "classes": [{"name": "lookup", "pool": "desk"}]}]})");
  EXPECT_TRUE(HasErrorAt(errors, "/customers/guild/parameters/weight"));
}

TEST(ConfigurationTest, RefusesRemovalOfAUsedTemplate) {
  const auto errors = ErrorsOfChange(
      ApplyFirstChange(), R"({"format": 1, "remove_templates": ["workshop"]})");
  EXPECT_TRUE(HasErrorAt(errors, "/remove_templates/0"));
}

TEST(ConfigurationTest, RefusesAKeyOfAnotherCustomer) {
  const auto errors = ErrorsOfChange(
      ApplyFirstChange(), R"({"format": 1, "customers": [{"name": "thief",
    "template": "workshop", "key_hashes":
    ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}]})");
  EXPECT_TRUE(HasErrorAt(errors, "/customers/0/key_hashes"));
}

TEST(ConfigurationTest, SnapshotGivesTheSameConfiguration) {
  const auto configuration = ApplyFirstChange();
  const auto copy = std::get<Configuration>(
      Configuration::FromSnapshot(configuration.Snapshot()));
  EXPECT_EQ(copy.version(), ConfigVersion(1));
  EXPECT_EQ(copy.Snapshot(), configuration.Snapshot());
}

TEST(ConfigurationTest, RefusesWhatIsNotAJsonObject) {
  EXPECT_EQ(ErrorsOfChange(Configuration(), "{").size(), 1U);
  EXPECT_FALSE(ErrorsOfChange(Configuration(), "[]").empty());
}

TEST(ConfigurationTest, RemovedCustomerLosesItsKey) {
  auto result = ApplyFirstChange().Apply(
      R"({"format": 1, "remove_customers": ["guild"]})", ConfigVersion(2));
  const auto& next = std::get<Configuration>(result);
  EXPECT_EQ(next.FindByKeyHash(std::string(64, 'a')), nullptr);
}

}  // namespace
}  // namespace papayaplank
