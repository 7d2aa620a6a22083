// Parsing and validation of templates and customers.
#include "config/document_reader.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace papayaplank {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kKeyHashLength = 64;

auto IsName(const std::string& text) -> bool {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
  });
}

auto IsKeyHash(const std::string& text) -> bool {
  if (text.size() != kKeyHashLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
  });
}

auto FormatNumber(double value) -> std::string {
  return nlohmann::json(value).dump();
}

}  // namespace

auto DocumentReader::AddError(const std::string& pointer,
                              const std::string& message) -> void {
  errors_.push_back({pointer, message});
}

auto DocumentReader::CheckMembers(const Json& json,
                                  const std::vector<std::string>& allowed,
                                  const std::string& pointer) -> bool {
  if (!json.is_object()) {
    AddError(pointer, "is not an object; give a JSON object");
    return false;
  }
  for (const auto& [name, value] : json.items()) {
    if (std::find(allowed.begin(), allowed.end(), name) != allowed.end()) {
      continue;
    }
    std::string known;
    for (const auto& each : allowed) {
      known += (known.empty() ? "" : ", ") + each;
    }
    AddError(pointer + "/" + name,
             "is not a known member; allowed are " + known);
  }
  return true;
}

auto DocumentReader::ReadString(const Json& json, const std::string& member,
                                const std::string& pointer, bool is_name)
    -> std::string {
  if (!json.contains(member)) {
    if (is_name) AddError(pointer + "/" + member, "is missing; give a string");
    return "";
  }
  if (!json[member].is_string()) {
    AddError(pointer + "/" + member, "is not a string");
    return "";
  }
  auto text = json[member].get<std::string>();
  if (is_name && !IsName(text)) {
    AddError(pointer + "/" + member,
             "is '" + text +
                 "'; use 1 to 128 letters, digits, '-', '_', "
                 "'.' or '/'");
  }
  return text;
}

auto DocumentReader::ReadBool(const Json& json, const std::string& member,
                              const std::string& pointer, bool fallback)
    -> bool {
  if (!json.contains(member)) return fallback;
  if (json[member].is_boolean()) return json[member].get<bool>();
  AddError(pointer + "/" + member, "is not true or false");
  return fallback;
}

auto DocumentReader::AllowedRange(const std::string& member) -> Range {
  if (member == "weight") return {0.01, 1000, false};
  if (member == "requests_per_second") return {0.01, 1000000, false};
  if (member == "burst") return {1, 1000000, false};
  if (member == "queued_requests") return {1, 100000, true};
  if (member == "deadline_ms") return {10, 86400000, true};
  if (member == "retries") return {0, 10, true};
  // The remaining member is cost_hint.
  return {0.1, 1000000, false};
}

auto DocumentReader::CheckRange(double value, const Range& range,
                                const std::string& pointer) -> bool {
  if (range.is_integer && value != std::floor(value)) {
    AddError(pointer, "is " + FormatNumber(value) + "; give a whole number");
    return false;
  }
  if (value >= range.minimum && value <= range.maximum) return true;
  AddError(pointer, "is " + FormatNumber(value) + "; allowed is " +
                        FormatNumber(range.minimum) + " to " +
                        FormatNumber(range.maximum));
  return false;
}

auto DocumentReader::ReadNumber(const Json& json, const std::string& member,
                                const std::string& pointer,
                                const Template& owner, double fallback)
    -> TemplateNumber {
  if (!json.contains(member)) return fallback;
  const auto& value = json[member];
  const auto value_pointer = pointer + "/" + member;
  const auto range = AllowedRange(member);
  if (value.is_number()) {
    const auto number = value.get<double>();
    CheckRange(number, range, value_pointer);
    return number;
  }
  if (!value.is_object() || value.size() != 1 || !value.contains("parameter") ||
      !value["parameter"].is_string()) {
    AddError(value_pointer, "is neither a number nor {\"parameter\": NAME}");
    return fallback;
  }
  const auto name = value["parameter"].get<std::string>();
  for (const auto& parameter : owner.parameters) {
    if (parameter.name != name) continue;
    CheckRange(parameter.minimum, {range.minimum, range.maximum, false},
               value_pointer);
    CheckRange(parameter.maximum, {range.minimum, range.maximum, false},
               value_pointer);
    return ParameterReference{name};
  }
  AddError(value_pointer, "names the parameter '" + name +
                              "', which the template does not declare");
  return fallback;
}

auto DocumentReader::ReadParameter(const Json& json, const std::string& pointer)
    -> Parameter {
  Parameter result;
  if (!CheckMembers(json, {"name", "type", "minimum", "maximum", "default"},
                    pointer)) {
    return result;
  }
  result.name = ReadString(json, "name", pointer, true);
  const auto type = ReadString(json, "type", pointer, true);
  if (type != "number" && type != "integer") {
    AddError(pointer + "/type",
             "is '" + type + "'; allowed are number and integer");
  }
  result.is_integer = type == "integer";
  const auto number = [&](const std::string& member) -> double {
    if (json.contains(member) && json[member].is_number()) {
      return json[member].get<double>();
    }
    AddError(pointer + "/" + member, "is missing or not a number");
    return 0;
  };
  result.minimum = number("minimum");
  result.maximum = number("maximum");
  result.default_value = number("default");
  if (result.minimum > result.maximum) {
    AddError(pointer + "/minimum", "is above the maximum");
    return result;
  }
  CheckRange(result.default_value,
             {result.minimum, result.maximum, result.is_integer},
             pointer + "/default");
  return result;
}

auto DocumentReader::ReadParameters(const Json& json,
                                    const std::string& pointer,
                                    Template& result) -> void {
  if (!json.contains("parameters")) return;
  if (!json["parameters"].is_array()) {
    AddError(pointer + "/parameters", "is not an array");
    return;
  }
  std::set<std::string> names;
  std::size_t index = 0;
  for (const auto& each : json["parameters"]) {
    const auto value_pointer =
        pointer + "/parameters/" + std::to_string(index++);
    result.parameters.push_back(ReadParameter(each, value_pointer));
    if (!names.insert(result.parameters.back().name).second) {
      AddError(value_pointer + "/name", "is declared more than once");
    }
  }
}

auto DocumentReader::ReadClass(const Json& json, const std::string& pointer,
                               const Template& owner) -> TemplateClass {
  TemplateClass result;
  if (!CheckMembers(json,
                    {"name", "match", "pool", "interactive", "idempotent",
                     "deadline_ms", "retries", "cost_hint"},
                    pointer)) {
    return result;
  }
  result.id = ClassId(ReadString(json, "name", pointer, true));
  if (json.contains("match") &&
      CheckMembers(json["match"], {"method", "path_prefix", "class_header"},
                   pointer + "/match")) {
    const auto& match = json["match"];
    result.match.method =
        ReadString(match, "method", pointer + "/match", false);
    result.match.path_prefix =
        ReadString(match, "path_prefix", pointer + "/match", false);
    result.match.class_header =
        ReadString(match, "class_header", pointer + "/match", false);
  }
  result.pool =
      PoolId(ReadString(json, "pool", pointer, json.contains("pool")));
  result.is_interactive = ReadBool(json, "interactive", pointer, true);
  result.is_idempotent = ReadBool(json, "idempotent", pointer, false);
  result.deadline_ms = ReadNumber(json, "deadline_ms", pointer, owner, 60000);
  result.retries = ReadNumber(json, "retries", pointer, owner, 2);
  result.cost_hint = ReadNumber(json, "cost_hint", pointer, owner, 100);
  return result;
}

auto DocumentReader::ReadClasses(const Json& json, const std::string& pointer,
                                 Template& result) -> void {
  if (!json.contains("classes") || !json["classes"].is_array() ||
      json["classes"].empty()) {
    AddError(pointer + "/classes",
             "is missing or empty; give at least one class");
    return;
  }
  std::set<ClassId> names;
  std::size_t index = 0;
  for (const auto& each : json["classes"]) {
    const auto value_pointer = pointer + "/classes/" + std::to_string(index++);
    result.classes.push_back(ReadClass(each, value_pointer, result));
    if (!names.insert(result.classes.back().id).second) {
      AddError(value_pointer + "/name",
               "is given more than once in the template");
    }
  }
}

auto DocumentReader::ReadTemplate(const Json& json, const std::string& pointer)
    -> Template {
  Template result;
  if (!CheckMembers(json, {"name", "parameters", "weight", "limits", "classes"},
                    pointer)) {
    return result;
  }
  result.name = ReadString(json, "name", pointer, true);
  ReadParameters(json, pointer, result);
  result.weight = ReadNumber(json, "weight", pointer, result, 1);
  const auto limits = json.value("limits", Json::object());
  if (CheckMembers(limits, {"requests_per_second", "burst", "queued_requests"},
                   pointer + "/limits")) {
    const auto limits_pointer = pointer + "/limits";
    result.requests_per_second =
        ReadNumber(limits, "requests_per_second", limits_pointer, result, 100);
    result.burst = ReadNumber(limits, "burst", limits_pointer, result, 100);
    result.queued_requests =
        ReadNumber(limits, "queued_requests", limits_pointer, result, 1000);
  }
  ReadClasses(json, pointer, result);
  return result;
}

auto DocumentReader::ReadCustomer(const Json& json, const std::string& pointer)
    -> CustomerDocument {
  CustomerDocument result;
  if (!CheckMembers(json, {"name", "template", "parameters", "key_hashes"},
                    pointer)) {
    return result;
  }
  result.id = CustomerId(ReadString(json, "name", pointer, true));
  result.template_name = ReadString(json, "template", pointer, true);
  const auto parameters = json.value("parameters", Json::object());
  if (!parameters.is_object()) {
    AddError(pointer + "/parameters", "is not an object");
    return result;
  }
  for (const auto& [name, value] : parameters.items()) {
    if (value.is_number()) {
      result.parameters[name] = value.get<double>();
    } else {
      AddError(pointer + "/parameters/" + name, "is not a number");
    }
  }
  const auto hashes = json.value("key_hashes", Json::array());
  if (!hashes.is_array()) {
    AddError(pointer + "/key_hashes", "is not an array");
    return result;
  }
  std::size_t index = 0;
  for (const auto& hash : hashes) {
    const auto value_pointer =
        pointer + "/key_hashes/" + std::to_string(index++);
    if (hash.is_string() && IsKeyHash(hash.get<std::string>())) {
      result.key_hashes.push_back(hash.get<std::string>());
    } else {
      AddError(value_pointer,
               "is not a SHA-256 in 64 lower-case hexadecimal digits");
    }
  }
  return result;
}

auto DocumentReader::Resolve(const Template& base_template,
                             const CustomerDocument& customer,
                             const std::string& pointer) -> Customer {
  std::map<std::string, double> values;
  for (const auto& parameter : base_template.parameters) {
    values[parameter.name] = parameter.default_value;
  }
  for (const auto& [name, value] : customer.parameters) {
    const auto value_pointer = pointer + "/parameters/" + name;
    const auto declared = std::find_if(
        base_template.parameters.begin(), base_template.parameters.end(),
        [&name = name](const Parameter& each) { return each.name == name; });
    if (declared == base_template.parameters.end()) {
      AddError(value_pointer, "is not a parameter of the template '" +
                                  base_template.name + "'");
      continue;
    }
    CheckRange(value,
               {declared->minimum, declared->maximum, declared->is_integer},
               value_pointer);
    values[name] = value;
  }
  const auto resolve_number =
      [&values](const TemplateNumber& template_number) -> double {
    if (const auto* given = std::get_if<double>(&template_number)) {
      return *given;
    }
    return values[std::get<ParameterReference>(template_number).name];
  };
  Customer result;
  result.id = customer.id;
  result.template_name = base_template.name;
  result.weight = Weight{resolve_number(base_template.weight)};
  result.limits = {
      resolve_number(base_template.requests_per_second),
      resolve_number(base_template.burst),
      static_cast<int>(resolve_number(base_template.queued_requests))};
  result.key_hashes = customer.key_hashes;
  for (const auto& each : base_template.classes) {
    result.classes.push_back({each.id, each.match, each.pool,
                              each.is_interactive, each.is_idempotent,
                              milliseconds(static_cast<std::int64_t>(
                                  resolve_number(each.deadline_ms))),
                              static_cast<int>(resolve_number(each.retries)),
                              Cost{resolve_number(each.cost_hint)}});
  }
  return result;
}

}  // namespace papayaplank
