// Reads operators' JSON into typed documents and collects every fault.
#ifndef CONFIG_DOCUMENT_READER_H_
#define CONFIG_DOCUMENT_READER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"

namespace papayaplank {

// Reads one document; `errors` holds every fault met so far.
class DocumentReader {
 public:
  using Json = nlohmann::json;

  // Reads the template at JSON pointer `at`.
  auto ReadTemplate(const Json& json, const std::string& pointer) -> Template;

  // Reads the customer at JSON pointer `at`.
  auto ReadCustomer(const Json& json, const std::string& pointer)
      -> CustomerDocument;

  // Fills a template's parameters with a customer's values. Faults point
  // below `at`, the pointer of the customer.
  auto Resolve(const Template& from, const CustomerDocument& customer,
               const std::string& pointer) -> Customer;

  // Records that `json` has a member outside `allowed`.
  auto CheckMembers(const Json& json, const std::vector<std::string>& allowed,
                    const std::string& pointer) -> bool;

  // Records a fault.
  auto AddError(const std::string& pointer, const std::string& message) -> void;

  auto errors() const -> const std::vector<DocumentError>& { return errors_; }

 private:
  // Allowed range of a number.
  struct Range {
    double minimum;
    double maximum;
    bool is_integer;
  };

  static auto AllowedRange(const std::string& member) -> Range;
  auto ReadString(const Json& json, const std::string& member,
                  const std::string& pointer, bool required) -> std::string;
  auto ReadBool(const Json& json, const std::string& member,
                const std::string& pointer, bool fallback) -> bool;
  auto ReadNumber(const Json& json, const std::string& member,
                  const std::string& pointer, const Template& owner,
                  double fallback) -> TemplateNumber;
  auto ReadParameter(const Json& json, const std::string& pointer) -> Parameter;
  auto ReadClass(const Json& json, const std::string& pointer,
                 const Template& owner) -> TemplateClass;
  auto ReadParameters(const Json& json, const std::string& pointer,
                      Template& result) -> void;
  auto ReadClasses(const Json& json, const std::string& pointer,
                   Template& result) -> void;
  auto CheckRange(double value, const Range& range, const std::string& pointer)
      -> bool;

  std::vector<DocumentError> errors_;
};

}  // namespace papayaplank

#endif  // CONFIG_DOCUMENT_READER_H_
