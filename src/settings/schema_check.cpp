#include "schema_check.hpp"

#include <algorithm>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace fennellane {
namespace {

// What the schema wants at a path, in its own words: the library says only that it is not so.
std::string expected_at(const Json::Value& schema, const std::vector<std::string>& names) {
  const Json::Value* at = &schema;
  for (const std::string& name : names) {
    const Json::Value& next = at->isMember("items") ? (*at)["items"] : (*at)["properties"][name];
    if (!next.isObject()) return "";
    at = &next;
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  std::string text;
  for (const char* rule : {"enum", "pattern", "minimum", "maximum", "minLength", "maxLength", "required"}) {
    if (at->isMember(rule)) {
      text += (text.empty() ? "" : ", ") + std::string(rule) + " " + Json::writeString(builder, (*at)[rule]);
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
  // The library tells the fault from the outside in; the longest path says where it lies.
  valijson::ValidationResults::Error error, deepest;
  while (results.popError(error)) {
    if (error.context.size() >= deepest.context.size()) deepest = error;
  }
  SchemaError fault;
  std::vector<std::string> names;
  for (const std::string& piece : deepest.context) {  // <root>, [consul], [service], [0]
    if (piece.size() < 2 || piece.front() != '[') continue;
    const std::string name = piece.substr(1, piece.size() - 2);
    names.push_back(name);
    const bool place = std::all_of(name.begin(), name.end(), [](char c) { return c >= '0' && c <= '9'; });
    fault.path += place ? piece : (fault.path.empty() ? "" : ".") + name;
  }
  fault.message = deepest.description + expected_at(schema, names);
  std::replace(fault.message.begin(), fault.message.end(), '\n', ' ');
  return fault;
}

}  // namespace fennellane
