// Builds a configuration version from the previous one and a change.
#include "config/configuration.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/document_reader.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kDocumentFormat = 1;

}  // namespace

// Applies one change document to a copy of a configuration.
class Configuration::Builder {
 public:
  explicit Builder(Configuration base) : next_(std::move(base)) {}

  auto Run(const Json& change, ConfigVersion version) -> Result {
    next_.version_ = version;
    if (!reader_.CheckMembers(change,
                              {"format", "version", "templates", "customers",
                               "remove_templates", "remove_customers"},
                              "")) {
      return reader_.errors();
    }
    if (change.value("format", Json()) != Json(kDocumentFormat)) {
      reader_.AddError("/format",
                       "is missing or not 1, the only supported format");
    }
    RemoveCustomers(change);
    PutTemplates(change);
    PutCustomers(change);
    RemoveTemplates(change);
    if (!reader_.errors().empty()) return reader_.errors();
    return std::move(next_);
  }

 private:
  auto ReadEntries(const Json& change, const std::string& member) -> Json {
    if (!change.contains(member)) return Json::array();
    if (change[member].is_array()) return change[member];
    reader_.AddError("/" + member, "is not an array");
    return Json::array();
  }

  auto PutTemplates(const Json& change) -> void {
    std::size_t index = 0;
    std::set<std::string> changed;
    for (const auto& each : ReadEntries(change, "templates")) {
      const auto pointer = "/templates/" + std::to_string(index++);
      const auto errors_before = reader_.errors().size();
      auto parsed = reader_.ReadTemplate(each, pointer);
      if (reader_.errors().size() != errors_before) continue;
      if (!changed.insert(parsed.name).second) {
        reader_.AddError(pointer + "/name",
                         "is given more than once in the change");
      }
      const auto name = parsed.name;
      next_.templates_[name] = std::make_shared<const TemplateEntry>(
          TemplateEntry{std::move(parsed), each.dump()});
    }
    // Customers that the same change replaces are resolved by `PutCustomers`.
    for (const auto& entry : change.value("customers", Json::array())) {
      if (entry.is_object() && entry.contains("name") &&
          entry["name"].is_string()) {
        replaced_.insert(CustomerId(entry["name"].get<std::string>()));
      }
    }
    ResolveAffectedCustomers(changed);
  }

  // Resolves again the customers whose template changed. Their error pointers
  // contain the customer's name instead of an index, because the change
  // document doesn't contain these customers.
  auto ResolveAffectedCustomers(const std::set<std::string>& changed) -> void {
    if (changed.empty()) return;
    for (auto& [id, entry] : next_.customers_) {
      if (changed.count(entry->document.template_name) == 0) continue;
      if (replaced_.count(id) != 0) continue;
      const auto pointer = "/customers/" + id.value();
      const auto& base = next_.templates_[entry->document.template_name];
      auto resolved = reader_.Resolve(base->parsed, entry->document, pointer);
      Install(entry->document, std::move(resolved), entry->text, entry);
    }
  }

  auto Install(CustomerDocument document, Customer resolved, std::string text,
               std::shared_ptr<const CustomerEntry>& entry) -> void {
    auto shared = std::make_shared<const Customer>(std::move(resolved));
    for (const auto& hash : shared->key_hashes) {
      next_.by_key_hash_[hash] = shared;
    }
    entry = std::make_shared<const CustomerEntry>(
        CustomerEntry{std::move(document), std::move(shared), std::move(text)});
  }

  auto PutCustomers(const Json& change) -> void {
    std::size_t index = 0;
    std::set<CustomerId> seen;
    for (const auto& each : ReadEntries(change, "customers")) {
      const auto pointer = "/customers/" + std::to_string(index++);
      const auto errors_before = reader_.errors().size();
      auto document = reader_.ReadCustomer(each, pointer);
      if (reader_.errors().size() != errors_before) continue;
      if (!seen.insert(document.id).second) {
        reader_.AddError(pointer + "/name",
                         "is given more than once in the change");
        continue;
      }
      PutCustomer(std::move(document), each.dump(), pointer);
    }
  }

  auto PutCustomer(CustomerDocument document, std::string text,
                   const std::string& pointer) -> void {
    const auto base = next_.templates_.find(document.template_name);
    if (base == next_.templates_.end()) {
      reader_.AddError(pointer + "/template",
                       "names '" + document.template_name +
                           "', which does not exist; submit the template first "
                           "or in the same change");
      return;
    }
    // The customer may keep its own keys, so only those of others count.
    RemoveKeys(document.id);
    if (!CheckKeysAreFree(document, pointer)) return;
    auto resolved = reader_.Resolve(base->second->parsed, document, pointer);
    auto& entry = next_.customers_[document.id];
    Install(std::move(document), std::move(resolved), std::move(text), entry);
  }

  // Records an error and returns false if another customer has one of the keys.
  auto CheckKeysAreFree(const CustomerDocument& document,
                        const std::string& pointer) -> bool {
    for (const auto& hash : document.key_hashes) {
      const auto other = next_.by_key_hash_.find(hash);
      if (other == next_.by_key_hash_.end()) continue;
      reader_.AddError(pointer + "/key_hashes",
                       "has a key of the customer '" +
                           other->second->id.value() +
                           "'; a key belongs to one customer");
      return false;
    }
    return true;
  }

  auto RemoveKeys(const CustomerId& id) -> void {
    const auto old = next_.customers_.find(id);
    if (old == next_.customers_.end()) return;
    for (const auto& hash : old->second->document.key_hashes) {
      next_.by_key_hash_.erase(hash);
    }
  }

  auto RemoveCustomers(const Json& change) -> void {
    std::size_t index = 0;
    for (const auto& each : ReadEntries(change, "remove_customers")) {
      const auto pointer = "/remove_customers/" + std::to_string(index++);
      const auto id = CustomerId(each.is_string() ? each.get<std::string>()
                                                  : std::string());
      if (next_.customers_.count(id) == 0) {
        reader_.AddError(pointer, "names a customer that does not exist");
        continue;
      }
      RemoveKeys(id);
      next_.customers_.erase(id);
    }
  }

  auto RemoveTemplates(const Json& change) -> void {
    std::size_t index = 0;
    for (const auto& each : ReadEntries(change, "remove_templates")) {
      const auto pointer = "/remove_templates/" + std::to_string(index++);
      const auto name = each.is_string() ? each.get<std::string>() : "";
      if (next_.templates_.count(name) == 0) {
        reader_.AddError(pointer, "names a template that does not exist");
        continue;
      }
      for (const auto& [id, entry] : next_.customers_) {
        if (entry->document.template_name != name) continue;
        reader_.AddError(pointer,
                         "is used by the customer '" + id.value() +
                             "'; give the customer another template or "
                             "remove it first");
        break;
      }
      next_.templates_.erase(name);
    }
  }

  Configuration next_;
  DocumentReader reader_;
  // Customers that the change replaces; they are resolved with their new
  // documents.
  std::set<CustomerId> replaced_;
};

auto Configuration::Apply(std::string_view change_text,
                          ConfigVersion version) const -> Result {
  const auto change = Json::parse(change_text, nullptr, false);
  if (change.is_discarded()) {
    return std::vector<DocumentError>{
        {"", "is not JSON; check the document with a JSON tool"}};
  }
  return Builder(*this).Run(change, version);
}

auto Configuration::FromSnapshot(std::string_view text) -> Result {
  const auto json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned()) {
    return std::vector<DocumentError>{
        {"/version", "is missing; this is not a configuration snapshot"}};
  }
  return Configuration().Apply(
      text, ConfigVersion(json["version"].get<std::uint64_t>()));
}

auto Configuration::Snapshot() const -> std::string {
  auto text = "{\"format\":1,\"version\":" + std::to_string(version_.value());
  text += ",\"templates\":[";
  const char* separator = "";
  for (const auto& [name, entry] : templates_) {
    text += separator + entry->text;
    separator = ",";
  }
  text += "],\"customers\":[";
  separator = "";
  for (const auto& [id, entry] : customers_) {
    text += separator + entry->text;
    separator = ",";
  }
  return text + "]}";
}

auto Configuration::TemplateText(const std::string& name) const -> std::string {
  const auto found = templates_.find(name);
  return found == templates_.end() ? "" : found->second->text;
}

auto Configuration::CustomerText(const CustomerId& id) const -> std::string {
  const auto found = customers_.find(id);
  return found == customers_.end() ? "" : found->second->text;
}

auto Configuration::FindByKeyHash(const std::string& key_hash) const
    -> std::shared_ptr<const Customer> {
  const auto found = by_key_hash_.find(key_hash);
  return found == by_key_hash_.end() ? nullptr : found->second;
}

auto Configuration::FindCustomer(const CustomerId& id) const
    -> std::shared_ptr<const Customer> {
  const auto found = customers_.find(id);
  return found == customers_.end() ? nullptr : found->second->resolved;
}

auto MatchClass(const Customer& customer, std::string_view method,
                std::string_view path, std::string_view class_header)
    -> const RequestClass* {
  for (const auto& each : customer.classes) {
    const auto& match = each.match;
    if (!match.method.empty() && match.method != method) continue;
    if (path.substr(0, match.path_prefix.size()) != match.path_prefix) continue;
    if (!match.class_header.empty() && match.class_header != class_header) {
      continue;
    }
    return &each;
  }
  return nullptr;
}

}  // namespace papayaplank
