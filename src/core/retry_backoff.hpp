// Exponential backoff with jitter for operations that others retry as well. Pure state machine: performs no
// I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "limits.hpp"

namespace fennellane {

class RetryBackoff {
 public:
  RetryBackoff(Time min, Time max, std::uint64_t seed) : min_(min), max_(max), random_(seed) {}

  // After a failure: 0.5 to 1.5 times a delay that doubles each time, up to `max`. Without the jitter, many
  // clients that failed at the same moment would retry at the same moment, again and again.
  Time next_delay() {
    const Time delay = delay_;
    delay_ = std::min(delay_ * 2, max_);
    return delay / 2 + Time(std::uniform_int_distribution<Time::rep>(0, delay.count())(random_));
  }
  // After a success: the next failure starts from the minimum delay again.
  void reset() { delay_ = min_; }

 private:
  const Time min_, max_;
  Time delay_ = min_;
  std::mt19937_64 random_;
};

}  // namespace fennellane
