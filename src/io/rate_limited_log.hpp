// One kind of line in the log, at most once in a while: those in between are counted and told with the next.
#pragma once

#include <cstdint>
#include <string>

#include "limits.hpp"
#include "log.hpp"

namespace fennellane {

class RateLimitedLog {
 public:
  RateLimitedLog(Log& log, std::string part, Time least_gap)
      : log_(log), part_(std::move(part)), min_interval_(least_gap) {}

  void operator()(Time now, const std::string& text) {
    if (now < next_allowed_) {
      ++suppressed_lines_;
      return;
    }
    next_allowed_ = now + min_interval_;
    log_(part_, suppressed_lines_ == 0
                    ? text
                    : text + " (and " + std::to_string(suppressed_lines_) + " more since)");
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
