// How long to wait before the next try of something that others try as well: longer after each failure, and
// never the same for two who failed together. Neither a clock nor I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "limits.hpp"

namespace fennellane {

class RetryBackoff {
 public:
  RetryBackoff(Time least, Time most, std::uint64_t seed) : min_(least), max_(most), random_(seed) {}

  // After a failure: from half to one and a half of a span that doubles each time, up to `most`. Guards
  // against a hundred that failed in one moment coming back in one moment, again and again.
  Time next_delay() {
    const Time span = delay_;
    delay_ = std::min(delay_ * 2, max_);
    return span / 2 + Time(std::uniform_int_distribution<Time::rep>(0, span.count())(random_));
  }
  // After a success: the next failure's pause is short again.
  void reset() { delay_ = min_; }

 private:
  const Time min_, max_;
  Time delay_ = min_;
  std::mt19937_64 random_;
};

}  // namespace fennellane
