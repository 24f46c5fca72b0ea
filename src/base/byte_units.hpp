// Byte size units.
#pragma once

#include <cstddef>

namespace fennellane {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

}  // namespace fennellane
