// Lookup of names by their position in a list, and validation of names.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fennellane {

inline std::optional<std::uint32_t> find_position(const std::vector<std::string>& names,
                                                  std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(it - names.begin());
}

// The list's size if the name is not found.
inline std::uint32_t position_of(const std::vector<std::string>& names, std::string_view name) {
  return find_position(names, name).value_or(static_cast<std::uint32_t>(names.size()));
}

// Whether the name of a relay, a zone or a build can be part of a key or a path: letters, digits, '-', '_'
// and '.', not beginning with '.'.
inline bool is_plain_name(std::string_view name) {
  constexpr std::size_t kMaxLength = 128;
  constexpr std::string_view kAllowedCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !name.empty() && name.size() <= kMaxLength && name.front() != '.' &&
         name.find_first_not_of(kAllowedCharacters) == std::string_view::npos;
}

// Empty for a position past the end.
inline std::string name_at(const std::vector<std::string>& names, std::uint32_t position) {
  return position < names.size() ? names[position] : "";
}

}  // namespace fennellane
