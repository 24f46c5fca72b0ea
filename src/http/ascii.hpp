// Letter case in HTTP, independent of the locale.
#pragma once

namespace fennellane {

inline char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace fennellane
