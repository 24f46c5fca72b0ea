#include "number.hpp"

#include <charconv>

namespace fennellane {

std::optional<std::uint64_t> parse_unsigned(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || stop != end || value > max) return std::nullopt;
  return value;
}

}  // namespace fennellane
