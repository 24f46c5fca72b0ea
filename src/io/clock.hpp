// The event loop's clock. Code that reads no clock itself gets the time as an argument.
#pragma once

#include <chrono>

#include "limits.hpp"

namespace fennellane {

inline Time steady_now() {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

// Converts to the type that timers use.
inline std::chrono::steady_clock::time_point to_time_point(Time at) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(at));
}

}  // namespace fennellane
