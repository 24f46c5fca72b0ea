// Numbers as text, read strictly.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fennellane {

// Digits only, and no more than `most`; nothing for anything else.
std::optional<std::uint64_t> parse_unsigned(std::string_view text, std::uint64_t most);

}  // namespace fennellane
