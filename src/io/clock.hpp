// The clock of the loop: what has no clock of its own is handed its moments.
#pragma once

#include <chrono>

#include "limits.hpp"

namespace fennellane {

inline Time steady_now() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

// The moment as timers take it.
inline std::chrono::steady_clock::time_point to_time_point(Time at) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(at));
}

}  // namespace fennellane
