// The operators' settings: S-expressions, converted to JSON according to a JSON Schema.
//
//   (listen "127.0.0.1:8080")              a member with one value
//   (zones "a" "b")                        an array of plain values
//   (tenant (name "north") (rate 3))       an object; if the schema has an array of objects under that name,
//   (tenant (name "south"))                each such list adds an item
//   ; to the end of the line               a comment
#pragma once

#include <json/json.h>

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace fennellane {

// One line with a line number and a path: "12: consul.service[1].name: expected a string".
class SexpError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct SexpDocument {
  Json::Value value;
  // Line numbers, starting at 1, of every member and item by path ("consul.service[1].name").
  std::map<std::string, std::size_t> lines;
  // The line of the path or, for a missing member, of the object that should contain it.
  std::size_t line_of(std::string path) const;
};

// Converts `text` according to the `type`, `properties` and `items` of `schema`; it does not check values.
// Throws SexpError for malformed S-expressions, unknown or repeated names and values of the wrong type.
SexpDocument read_sexp(std::string_view text, const Json::Value& schema);

}  // namespace fennellane
