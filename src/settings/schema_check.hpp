// Validation of a JSON value against a JSON Schema (valijson).
#pragma once

#include <json/json.h>

#include <optional>
#include <string>

namespace fennellane {

// The path of the first error ("consul.service[0].name"; empty: the whole value) and a message in one line.
struct SchemaError {
  std::string path, message;
};
std::optional<SchemaError> find_schema_error(const Json::Value& value, const Json::Value& schema);

}  // namespace fennellane
