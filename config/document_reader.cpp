// Reading and checking of templates and customers.
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

auto NumberText(double value) -> std::string {
  return nlohmann::json(value).dump();
}

}  // namespace

auto DocumentReader::Fail(const std::string& at, const std::string& message)
    -> void {
  errors_.push_back({at, message});
}

auto DocumentReader::CheckMembers(const Json& json,
                                  const std::vector<std::string>& allowed,
                                  const std::string& at) -> bool {
  if (!json.is_object()) {
    Fail(at, "is not an object; give a JSON object");
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
    Fail(at + "/" + name, "is not a known member; allowed are " + known);
  }
  return true;
}

auto DocumentReader::ReadString(const Json& json, const std::string& member,
                                const std::string& at, bool required)
    -> std::string {
  if (!json.contains(member)) {
    if (required) Fail(at + "/" + member, "is missing; give a name");
    return "";
  }
  if (!json[member].is_string()) {
    Fail(at + "/" + member, "is not a string");
    return "";
  }
  auto text = json[member].get<std::string>();
  if (required && !IsName(text)) {
    Fail(at + "/" + member, "is '" + text +
                                "'; use 1 to 128 letters, digits, '-', '_', "
                                "'.' or '/'");
  }
  return text;
}

auto DocumentReader::ReadBool(const Json& json, const std::string& member,
                              const std::string& at, bool fallback) -> bool {
  if (!json.contains(member)) return fallback;
  if (json[member].is_boolean()) return json[member].get<bool>();
  Fail(at + "/" + member, "is not true or false");
  return fallback;
}

auto DocumentReader::RangeOf(const std::string& member) -> Range {
  if (member == "weight") return {0.01, 1000, false};
  if (member == "requests_per_second") return {0.01, 1000000, false};
  if (member == "burst") return {1, 1000000, false};
  if (member == "queued_requests") return {1, 100000, true};
  if (member == "deadline_ms") return {10, 86400000, true};
  if (member == "retries") return {0, 10, true};
  return {0.1, 1000000, false};
}

auto DocumentReader::CheckRange(double value, const Range& range,
                                const std::string& at) -> bool {
  if (range.is_integer && value != std::floor(value)) {
    Fail(at, "is " + NumberText(value) + "; give a whole number");
    return false;
  }
  if (value >= range.minimum && value <= range.maximum) return true;
  Fail(at, "is " + NumberText(value) + "; allowed is " +
               NumberText(range.minimum) + " to " + NumberText(range.maximum));
  return false;
}

auto DocumentReader::ReadSetting(const Json& json, const std::string& member,
                                 const std::string& at, const Template& owner,
                                 double fallback) -> Setting {
  if (!json.contains(member)) return fallback;
  const auto& value = json[member];
  const auto here = at + "/" + member;
  const auto range = RangeOf(member);
  if (value.is_number()) {
    const auto number = value.get<double>();
    CheckRange(number, range, here);
    return number;
  }
  if (!value.is_object() || value.size() != 1 || !value.contains("parameter") ||
      !value["parameter"].is_string()) {
    Fail(here, "is neither a number nor {\"parameter\": NAME}");
    return fallback;
  }
  const auto name = value["parameter"].get<std::string>();
  for (const auto& parameter : owner.parameters) {
    if (parameter.name != name) continue;
    CheckRange(parameter.minimum, {range.minimum, range.maximum, false}, here);
    CheckRange(parameter.maximum, {range.minimum, range.maximum, false}, here);
    return ParameterName{name};
  }
  Fail(here, "names the parameter '" + name +
                 "', which the template does not declare");
  return fallback;
}

auto DocumentReader::ReadParameter(const Json& json, const std::string& at)
    -> Parameter {
  Parameter result;
  if (!CheckMembers(json, {"name", "type", "minimum", "maximum", "default"},
                    at)) {
    return result;
  }
  result.name = ReadString(json, "name", at, true);
  const auto type = ReadString(json, "type", at, true);
  if (type != "number" && type != "integer") {
    Fail(at + "/type", "is '" + type + "'; allowed are number and integer");
  }
  result.is_integer = type == "integer";
  const auto number = [&](const std::string& member) -> double {
    if (json.contains(member) && json[member].is_number()) {
      return json[member].get<double>();
    }
    Fail(at + "/" + member, "is missing or not a number");
    return 0;
  };
  result.minimum = number("minimum");
  result.maximum = number("maximum");
  result.default_value = number("default");
  if (result.minimum > result.maximum) {
    Fail(at + "/minimum", "is above the maximum");
    return result;
  }
  CheckRange(result.default_value,
             {result.minimum, result.maximum, result.is_integer},
             at + "/default");
  return result;
}

auto DocumentReader::ReadParameters(const Json& json, const std::string& at,
                                    Template& result) -> void {
  if (!json.contains("parameters")) return;
  if (!json["parameters"].is_array()) {
    Fail(at + "/parameters", "is not an array");
    return;
  }
  std::set<std::string> names;
  std::size_t index = 0;
  for (const auto& each : json["parameters"]) {
    const auto here = at + "/parameters/" + std::to_string(index++);
    result.parameters.push_back(ReadParameter(each, here));
    if (!names.insert(result.parameters.back().name).second) {
      Fail(here + "/name", "is declared twice");
    }
  }
}

auto DocumentReader::ReadClass(const Json& json, const std::string& at,
                               const Template& owner) -> TemplateClass {
  TemplateClass result;
  if (!CheckMembers(json,
                    {"name", "match", "pool", "interactive", "idempotent",
                     "deadline_ms", "retries", "cost_hint"},
                    at)) {
    return result;
  }
  result.id = ClassId(ReadString(json, "name", at, true));
  if (json.contains("match") &&
      CheckMembers(json["match"], {"method", "path_prefix", "class_header"},
                   at + "/match")) {
    const auto& match = json["match"];
    result.match.method = ReadString(match, "method", at + "/match", false);
    result.match.path_prefix =
        ReadString(match, "path_prefix", at + "/match", false);
    result.match.class_header =
        ReadString(match, "class_header", at + "/match", false);
  }
  result.pool = PoolId(ReadString(json, "pool", at, json.contains("pool")));
  result.is_interactive = ReadBool(json, "interactive", at, true);
  result.is_idempotent = ReadBool(json, "idempotent", at, false);
  result.deadline_ms = ReadSetting(json, "deadline_ms", at, owner, 60000);
  result.retries = ReadSetting(json, "retries", at, owner, 2);
  result.cost_hint = ReadSetting(json, "cost_hint", at, owner, 100);
  return result;
}

auto DocumentReader::ReadClasses(const Json& json, const std::string& at,
                                 Template& result) -> void {
  if (!json.contains("classes") || !json["classes"].is_array() ||
      json["classes"].empty()) {
    Fail(at + "/classes", "is missing or empty; give at least one class");
    return;
  }
  std::set<ClassId> names;
  std::size_t index = 0;
  for (const auto& each : json["classes"]) {
    const auto here = at + "/classes/" + std::to_string(index++);
    result.classes.push_back(ReadClass(each, here, result));
    if (!names.insert(result.classes.back().id).second) {
      Fail(here + "/name", "stands twice in the template");
    }
  }
}

auto DocumentReader::ReadTemplate(const Json& json, const std::string& at)
    -> Template {
  Template result;
  if (!CheckMembers(json, {"name", "parameters", "weight", "limits", "classes"},
                    at)) {
    return result;
  }
  result.name = ReadString(json, "name", at, true);
  ReadParameters(json, at, result);
  result.weight = ReadSetting(json, "weight", at, result, 1);
  const auto limits = json.value("limits", Json::object());
  if (CheckMembers(limits, {"requests_per_second", "burst", "queued_requests"},
                   at + "/limits")) {
    const auto here = at + "/limits";
    result.requests_per_second =
        ReadSetting(limits, "requests_per_second", here, result, 100);
    result.burst = ReadSetting(limits, "burst", here, result, 100);
    result.queued_requests =
        ReadSetting(limits, "queued_requests", here, result, 1000);
  }
  ReadClasses(json, at, result);
  return result;
}

auto DocumentReader::ReadCustomer(const Json& json, const std::string& at)
    -> CustomerDocument {
  CustomerDocument result;
  if (!CheckMembers(json, {"name", "template", "parameters", "key_hashes"},
                    at)) {
    return result;
  }
  result.id = CustomerId(ReadString(json, "name", at, true));
  result.template_name = ReadString(json, "template", at, true);
  const auto parameters = json.value("parameters", Json::object());
  if (!parameters.is_object()) {
    Fail(at + "/parameters", "is not an object");
    return result;
  }
  for (const auto& [name, value] : parameters.items()) {
    if (value.is_number()) {
      result.parameters[name] = value.get<double>();
    } else {
      Fail(at + "/parameters/" + name, "is not a number");
    }
  }
  const auto hashes = json.value("key_hashes", Json::array());
  if (!hashes.is_array()) {
    Fail(at + "/key_hashes", "is not an array");
    return result;
  }
  std::size_t index = 0;
  for (const auto& hash : hashes) {
    const auto here = at + "/key_hashes/" + std::to_string(index++);
    if (hash.is_string() && IsKeyHash(hash.get<std::string>())) {
      result.key_hashes.push_back(hash.get<std::string>());
    } else {
      Fail(here, "is not a SHA-256 in 64 lower-case hexadecimal digits");
    }
  }
  return result;
}

auto DocumentReader::Resolve(const Template& from,
                             const CustomerDocument& customer,
                             const std::string& at) -> Customer {
  std::map<std::string, double> values;
  for (const auto& parameter : from.parameters) {
    values[parameter.name] = parameter.default_value;
  }
  for (const auto& [name, value] : customer.parameters) {
    const auto here = at + "/parameters/" + name;
    const auto declared = std::find_if(
        from.parameters.begin(), from.parameters.end(),
        [&name = name](const Parameter& each) { return each.name == name; });
    if (declared == from.parameters.end()) {
      Fail(here, "is not a parameter of the template '" + from.name + "'");
      continue;
    }
    CheckRange(value,
               {declared->minimum, declared->maximum, declared->is_integer},
               here);
    values[name] = value;
  }
  const auto number = [&values](const Setting& setting) -> double {
    if (const auto* given = std::get_if<double>(&setting)) return *given;
    return values[std::get<ParameterName>(setting).name];
  };
  Customer result;
  result.id = customer.id;
  result.template_name = from.name;
  result.weight = Weight{number(from.weight)};
  result.limits = {number(from.requests_per_second), number(from.burst),
                   static_cast<int>(number(from.queued_requests))};
  result.key_hashes = customer.key_hashes;
  for (const auto& each : from.classes) {
    result.classes.push_back(
        {each.id, each.match, each.pool, each.is_interactive,
         each.is_idempotent,
         milliseconds(static_cast<std::int64_t>(number(each.deadline_ms))),
         static_cast<int>(number(each.retries)), Cost{number(each.cost_hint)}});
  }
  return result;
}

}  // namespace papayaplank
