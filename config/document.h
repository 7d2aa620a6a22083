// Typed form of the operators' documents: templates and customers.
#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// One error in a document. `pointer` is the JSON pointer to the invalid value.
struct DocumentError {
  std::string pointer;
  std::string message;
};

// Refers to a template parameter whose value replaces a number.
struct ParameterReference {
  std::string name;
};

// A number in a template: a literal, or a parameter that the customer sets.
using TemplateNumber = std::variant<double, ParameterReference>;

// A template parameter that each customer may set.
struct Parameter {
  std::string name;
  bool is_integer = false;
  double minimum = 0;
  double maximum = 0;
  // Used when the customer gives no value; within [minimum, maximum].
  double default_value = 0;
};

// Conditions that put a request into a class. Empty members match everything.
struct ClassMatch {
  std::string method;
  std::string path_prefix;
  // Value of the request header X-Papayaplank-Class.
  std::string class_header;
};

// A request class before the customer's parameter values are applied.
struct TemplateClass {
  ClassId id;
  ClassMatch match;
  // Empty: the pool is named by the `model` member of the request body.
  PoolId pool;
  // Interactive requests are queued apart from the others (batch requests).
  bool is_interactive = true;
  // Whether a request may run twice: if not, it is not retried after an attempt
  // that may have run.
  bool is_idempotent = false;
  // Milliseconds from the arrival of the request.
  TemplateNumber deadline_ms = 60000.0;
  // Maximum number of attempts after the first.
  TemplateNumber retries = 2.0;
  // Expected cost of a request in cost units (base/units.h).
  TemplateNumber cost_hint = 100.0;
};

// Settings shared by customers of one kind, as operators submit them.
struct Template {
  std::string name;
  std::vector<Parameter> parameters;
  // The customer's share relative to that of other customers.
  TemplateNumber weight = 1.0;
  // The limits of `Limits`.
  TemplateNumber requests_per_second = 100.0;
  TemplateNumber burst = 100.0;
  TemplateNumber queued_requests = 1000.0;
  std::vector<TemplateClass> classes;
};

// A customer's document: template name, parameter values and API key hashes.
struct CustomerDocument {
  CustomerId id;
  std::string template_name;
  std::map<std::string, double> parameters;
  // SHA-256 of each API key in lower-case hexadecimal.
  std::vector<std::string> key_hashes;
};

// A request class with all parameters resolved.
struct RequestClass {
  ClassId id;
  ClassMatch match;
  // Empty: the pool is named by the `model` member of the request body.
  PoolId pool;
  bool is_interactive = true;
  bool is_idempotent = false;
  Duration deadline{};
  int retries = 0;
  Cost cost_hint;
};

// Admission limits of a customer. Each router enforces them in full,
// independently of the other routers.
struct Limits {
  double requests_per_second = 0;
  // Size of the token bucket: requests that are admitted at once after a pause.
  double burst = 0;
  // Maximum number of waiting requests in one pool.
  int queued_requests = 0;
};

// A customer with its template's classes and limits resolved.
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
