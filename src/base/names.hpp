// Names by their position in a list.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace fennellane {

// Past the end for a name that is not there.
inline std::uint32_t position_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace fennellane
