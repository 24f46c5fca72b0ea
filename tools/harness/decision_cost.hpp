// What a decision of the module costs in CPU time, in virtual time: messages at a steady rate to an endpoint
// that has recovered from failures, while others are held for another destination.
#pragma once

#include <cstddef>

namespace fennellane::harness {

struct DecisionCost {
  double us_per_message = 0;  // CPU time
  double longest_us = 0;      // of one event
};

// `rate`: messages a second; `held`: messages that wait meanwhile.
DecisionCost measure_decisions(double rate, std::size_t held);

}  // namespace fennellane::harness
