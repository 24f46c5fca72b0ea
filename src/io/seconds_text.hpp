// A span of time as log lines give it: "1.5 s".
#pragma once

#include <chrono>
#include <cstdio>
#include <string>

#include "limits.hpp"

namespace fennellane {

inline std::string seconds_text(Time span, int decimals) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*f s", decimals, std::chrono::duration<double>(span).count());
  return text;
}

}  // namespace fennellane
