// Typed form of the operators' documents: templates and customers.
#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// One fault of a document. `pointer` is the JSON pointer of the bad value.
struct DocumentError {
  std::string pointer;
  std::string message;
};

// Name of a template parameter, used in place of a number.
struct ParameterReference {
  std::string name;
};

// A number of a template: given outright or by a parameter of the customer.
using TemplateNumber = std::variant<double, ParameterReference>;

// A parameter that each customer of a template may fill in.
struct Parameter {
  std::string name;
  bool is_integer = false;
  double minimum = 0;
  double maximum = 0;
  // Used when the customer gives no value; within [minimum, maximum].
  double default_value = 0;
};

// Which requests belong to a class. Empty members match everything.
struct ClassMatch {
  std::string method;
  std::string path_prefix;
  // Value of the request header X-Papayaplank-Class.
  std::string class_header;
};

// A request class before the customer's parameters are filled in.
struct TemplateClass {
  ClassId id;
  ClassMatch match;
  // Empty: the pool is named by the `model` member of the request body.
  PoolId pool;
  bool is_interactive = true;
  bool is_idempotent = false;
  TemplateNumber deadline_ms = 60000.0;
  TemplateNumber retries = 2.0;
  TemplateNumber cost_hint = 100.0;
};

// One kind of customer, as the operators describe it.
struct Template {
  std::string name;
  std::vector<Parameter> parameters;
  TemplateNumber weight = 1.0;
  TemplateNumber requests_per_second = 100.0;
  TemplateNumber burst = 100.0;
  TemplateNumber queued_requests = 1000.0;
  std::vector<TemplateClass> classes;
};

// A customer's document: its template, its values and its key hashes.
struct CustomerDocument {
  CustomerId id;
  std::string template_name;
  std::map<std::string, double> parameters;
  // SHA-256 of each API key in lower-case hexadecimal.
  std::vector<std::string> key_hashes;
};

// A request class with all numbers filled in.
struct RequestClass {
  ClassId id;
  ClassMatch match;
  PoolId pool;
  bool is_interactive = true;
  bool is_idempotent = false;
  Duration deadline{};
  int retries = 0;
  Cost cost_hint;
};

// Admission limits of a customer at each router.
struct Limits {
  double requests_per_second = 0;
  double burst = 0;
  int queued_requests = 0;
};

// A customer with its template's classes and limits filled in.
struct Customer {
  CustomerId id;
  std::string template_name;
  Weight weight;
  Limits limits;
  std::vector<RequestClass> classes;
  std::vector<std::string> key_hashes;
};

}  // namespace papayaplank

#endif  // CONFIG_DOCUMENT_H_
