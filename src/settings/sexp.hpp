// The operators' own settings: S-expressions, turned into JSON as a JSON Schema asks for.
//
//   (listen "127.0.0.1:8080")              a member with one value
//   (zones "a" "b")                        an array of plain values
//   (tenant (name "north") (rate 3))       an object; where the schema has an array of objects under that
//   (tenant (name "south"))                name, each such list is one more item of it
//   ; to the end of the line               a comment
#pragma once

#include <json/json.h>

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

namespace fennellane {

// What is wrong, in one line: "12: consul.service[1].name: expected a string".
class SexpError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct SexpDocument {
  Json::Value value;
  // Lines, from 1, by path ("consul.service[1].name"), of every member and item.
  std::map<std::string, std::size_t> lines;
  // The line of the path or, where it has none (a member that is missing), of what should hold it.
  std::size_t line_of(std::string path) const;
};

// Reads `text` by `schema`, of which `type`, `properties` and `items` are heeded; values are checked by
// others. Throws SexpError: for what is no S-expression, an unknown or repeated name, a value of another
// shape.
SexpDocument read_sexp(std::string_view text, const Json::Value& schema);

}  // namespace fennellane
