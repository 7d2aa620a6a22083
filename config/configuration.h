// One immutable version of the configuration; a change creates the next one.
#ifndef CONFIG_CONFIGURATION_H_
#define CONFIG_CONFIGURATION_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/document.h"

namespace papayaplank {

// One version of all templates and customers. Copies share their entries, so
// copying is cheap.
class Configuration {
 public:
  // The next version, or all errors of the change.
  using Result = std::variant<Configuration, std::vector<DocumentError>>;

  // Applies a change document and returns the next version; this one stays as
  // it is. If any part has an error, nothing is applied. The document is
  // {"format": 1, "templates": [..], "customers": [..],
  //  "remove_templates": [NAME..], "remove_customers": [NAME..]};
  // a member "version", as in snapshots, is ignored. Customers are removed
  // first and templates last.
  auto Apply(std::string_view change_text, ConfigVersion version) const
      -> Result;

  // Parses a complete snapshot written by `Snapshot`.
  static auto FromSnapshot(std::string_view text) -> Result;

  // All templates and customers as JSON text, with the version.
  auto Snapshot() const -> std::string;

  // JSON text of one template or customer; empty when there is none.
  auto TemplateText(const std::string& name) const -> std::string;
  auto CustomerText(const CustomerId& id) const -> std::string;

  // The customer of an API key by the key's SHA-256; null when unknown.
  auto FindByKeyHash(const std::string& key_hash) const
      -> std::shared_ptr<const Customer>;

  // The customer of that id; null when unknown.
  auto FindCustomer(const CustomerId& id) const
      -> std::shared_ptr<const Customer>;

  auto version() const -> ConfigVersion { return version_; }
  auto customer_count() const -> std::size_t { return customers_.size(); }
  auto template_count() const -> std::size_t { return templates_.size(); }

 private:
  struct TemplateEntry {
    Template parsed;
    std::string text;
  };
  struct CustomerEntry {
    CustomerDocument document;
    std::shared_ptr<const Customer> resolved;
    std::string text;
  };
  class Builder;

  ConfigVersion version_;
  // Every customer's template is in `templates_`.
  std::map<std::string, std::shared_ptr<const TemplateEntry>> templates_;
  std::map<CustomerId, std::shared_ptr<const CustomerEntry>> customers_;
  // A key hash belongs to exactly one customer of `customers_`.
  std::unordered_map<std::string, std::shared_ptr<const Customer>> by_key_hash_;
};

// The customer's first class that matches the request; null if none does.
auto MatchClass(const Customer& customer, std::string_view method,
                std::string_view path, std::string_view class_header)
    -> const RequestClass*;

}  // namespace papayaplank

#endif  // CONFIG_CONFIGURATION_H_
