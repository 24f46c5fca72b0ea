// One kind of line in the log, at most once in a while: those in between are counted and told with the next.
#pragma once

#include <cstdint>
#include <string>

#include "limits.hpp"
#include "log.hpp"

namespace fennellane {

class LimitedLog {
 public:
  LimitedLog(Log& log, std::string part, Time least_gap)
      : log_(log), part_(std::move(part)), least_gap_(least_gap) {}

  void operator()(Time now, const std::string& text) {
    if (now < next_) {
      ++passed_over_;
      return;
    }
    next_ = now + least_gap_;
    log_(part_, passed_over_ == 0 ? text : text + " (and " + std::to_string(passed_over_) + " more since)");
    passed_over_ = 0;
  }

 private:
  Log& log_;
  const std::string part_;
  const Time least_gap_;
  Time next_{};
  std::uint64_t passed_over_ = 0;
};

}  // namespace fennellane
