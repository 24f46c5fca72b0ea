// Logs one kind of line at a limited rate. Suppressed lines are counted, and the next line reports their
// number.
#pragma once

#include <cstdint>
#include <string>

#include "limits.hpp"
#include "log.hpp"

namespace fennellane {

class RateLimitedLog {
 public:
  RateLimitedLog(Log& log, std::string part, Time min_interval)
      : log_(log), part_(std::move(part)), min_interval_(min_interval) {}

  void operator()(Time now, const std::string& text) {
    if (now < next_allowed_) {
      ++suppressed_lines_;
      return;
    }
    next_allowed_ = now + min_interval_;
    log_(part_, suppressed_lines_ == 0
                    ? text
                    : text + " (and " + std::to_string(suppressed_lines_) + " more suppressed)");
    suppressed_lines_ = 0;
  }

 private:
  Log& log_;
  const std::string part_;
  const Time min_interval_;
  Time next_allowed_{};
  std::uint64_t suppressed_lines_ = 0;
};

}  // namespace fennellane
