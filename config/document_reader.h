// Parses operators' JSON into typed documents and collects all errors.
#ifndef CONFIG_DOCUMENT_READER_H_
#define CONFIG_DOCUMENT_READER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/document.h"

namespace papayaplank {

// Parses documents; `errors` holds all errors found so far. `pointer` is the
// JSON pointer to the argument `json`, unless a function says otherwise. After
// an error, the value that a function returns is incomplete.
class DocumentReader {
 public:
  using Json = nlohmann::json;

  // Parses a template.
  auto ReadTemplate(const Json& json, const std::string& pointer) -> Template;

  // Parses a customer.
  auto ReadCustomer(const Json& json, const std::string& pointer)
      -> CustomerDocument;

  // Applies a customer's parameter values to its template. `pointer` is that of
  // the customer; errors point to values below it.
  auto Resolve(const Template& base_template, const CustomerDocument& customer,
               const std::string& pointer) -> Customer;

  // Records an error for each member of `json` that `allowed` doesn't name, or
  // if `json` is not an object. Returns whether `json` is an object.
  auto CheckMembers(const Json& json, const std::vector<std::string>& allowed,
                    const std::string& pointer) -> bool;

  // Records an error at `pointer`.
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
  // These read one member of the object `json`. If `is_name`, the member must
  // be present and a valid name.
  auto ReadString(const Json& json, const std::string& member,
                  const std::string& pointer, bool is_name) -> std::string;
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
  // Records an error at `pointer`, that of `value`, if it is out of range.
  auto CheckRange(double value, const Range& range, const std::string& pointer)
      -> bool;

  std::vector<DocumentError> errors_;
};

}  // namespace papayaplank

#endif  // CONFIG_DOCUMENT_READER_H_
