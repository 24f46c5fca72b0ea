// The log section of the operators' settings.
#pragma once

#include <cstddef>

namespace fennellane {

enum class LogFormat { plain, logfmt, json };

struct LogSettings {
  LogFormat format = LogFormat::plain;
  std::size_t max_lines = 5000;
};

}  // namespace fennellane
