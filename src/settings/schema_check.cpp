#include "schema_check.hpp"

#include <algorithm>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace fennellane {
namespace {

// The schema's rules at a path, since the library's message does not include them.
std::string expected_at(const Json::Value& schema, const std::vector<std::string>& names) {
  const Json::Value* node = &schema;
  for (const std::string& name : names) {
    const Json::Value& next = node->isMember("items") ? (*node)["items"] : (*node)["properties"][name];
    if (!next.isObject()) return "";
    node = &next;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  std::string text;
  for (const char* rule : {"enum", "pattern", "minimum", "maximum", "minLength", "maxLength", "required"}) {
    if (node->isMember(rule)) {
      text +=
          (text.empty() ? "" : ", ") + std::string(rule) + " " + Json::writeString(builder, (*node)[rule]);
    }
  }
  return text.empty() ? "" : " (expected: " + text + ")";
}

}  // namespace

std::optional<SchemaError> find_schema_error(const Json::Value& value, const Json::Value& schema) {
  valijson::Schema parsed;
  valijson::SchemaParser().populateSchema(valijson::adapters::JsonCppAdapter(schema), parsed);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(parsed, valijson::adapters::JsonCppAdapter(value), &results)) return std::nullopt;
  // The library also reports the enclosing values of an error; the longest path is the error's own.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error)) {
    if (error.context.size() >= deepest.context.size()) deepest = error;
  }
  SchemaError result;
  std::vector<std::string> names;
  for (const std::string& element : deepest.context) {  // <root>, [consul], [service], [0]
    if (element.size() < 2 || element.front() != '[') continue;
    const std::string name = element.substr(1, element.size() - 2);
    names.push_back(name);
    const bool is_index = std::all_of(name.begin(), name.end(), [](char c) { return c >= '0' && c <= '9'; });
    result.path += is_index ? element : (result.path.empty() ? "" : ".") + name;
  }
  result.message = deepest.description + expected_at(schema, names);
  std::replace(result.message.begin(), result.message.end(), '\n', ' ');
  return result;
}

}  // namespace fennellane
