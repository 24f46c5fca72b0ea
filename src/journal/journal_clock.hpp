// The clock of the journal: the steady clock of this boot, which no step of the wall clock moves. A reading
// names the boot, so that the next life knows whether its own steady clock goes on where the old one stood.
#pragma once

#include <string>

#include "stream.hpp"

namespace fennellane::journal {

struct ClockReading {
  std::string boot;  // the kernel's id of this boot; empty: not known
  Time steady{};     // since some moment of this boot
  WallTime wall{};
};

ClockReading read_current_clock();

// What is added to a moment on the old reading's steady clock to have it on the new one's. Zero within one
// boot; over a reboot only the wall clock tells how long it was.
Time steady_shift(const ClockReading& before, const ClockReading& now);
// Likewise for a moment on the wall clock.
Time wall_shift(const ClockReading& now);

}  // namespace fennellane::journal
