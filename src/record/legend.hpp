// Names by position, kept at the head of the record so that it can be read without the configuration.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "limits.hpp"

namespace fennellane::record {

constexpr const char* kFileName = "record";  // in the state folder

struct ClassLegend {
  std::string name;
  Time aim{};
  Time deadline{};
  double worth = 1;
};
struct Legend {
  std::string relay;
  std::vector<ClassLegend> classes;
  std::vector<std::string> tenants;
};

std::string legend_text(const Legend& legend);
// What can be read of it; positions without a name get none.
Legend read_legend(std::string_view text);

}  // namespace fennellane::record
