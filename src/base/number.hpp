// Strict parsing of numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fennellane {

// Accepts only digits and values up to `max`; otherwise returns nothing.
std::optional<std::uint64_t> parse_unsigned(std::string_view text, std::uint64_t max);

}  // namespace fennellane
