// A JSON value held against a JSON Schema (valijson).
#pragma once

#include <json/json.h>

#include <optional>
#include <string>

namespace fennellane {

// Where the first fault lies ("consul.service[0].name"; empty = the whole) and what is wrong there, in one
// line.
struct SchemaError {
  std::string path, message;
};
std::optional<SchemaError> find_schema_error(const Json::Value& value, const Json::Value& schema);

}  // namespace fennellane
