// How the log is written.
#pragma once

#include <cstddef>

namespace fennellane {

enum class LogForm { plain, logfmt, json };

struct LogSettings {
  LogForm form = LogForm::plain;
  std::size_t most_lines = 5000;
};

}  // namespace fennellane
