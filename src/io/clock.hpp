// The clock of the loop: what has no clock of its own is handed its moments.
#pragma once

#include <chrono>

#include "limits.hpp"

namespace fennellane {

inline Time steady_now() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace fennellane
