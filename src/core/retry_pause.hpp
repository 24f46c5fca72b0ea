// How long to wait before the next try of something that others try as well: longer after each failure, and
// never the same for two who failed together. Neither a clock nor I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "limits.hpp"

namespace fennellane {

class RetryPause {
 public:
  RetryPause(Time least, Time most, std::uint64_t seed) : least_(least), most_(most), random_(seed) {}

  // After a failure: from half to one and a half of a span that doubles each time, up to `most`. Guards
  // against a hundred that failed in one moment coming back in one moment, again and again.
  Time next() {
    const Time span = span_;
    span_ = std::min(span_ * 2, most_);
    return span / 2 + Time(std::uniform_int_distribution<Time::rep>(0, span.count())(random_));
  }
  // After a success: the next failure's pause is short again.
  void reset() { span_ = least_; }

 private:
  const Time least_, most_;
  Time span_ = least_;
  std::mt19937_64 random_;
};

}  // namespace fennellane
