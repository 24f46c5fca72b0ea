// The clock of the journal: the steady clock of this boot, which is unaffected by steps of the wall clock. A
// reading names the boot, so that the next process can tell whether its steady clock continues the old one.
#pragma once

#include <string>

#include "stream.hpp"

namespace fennellane::journal {

struct ClockReading {
  std::string boot;  // the kernel's boot id; empty: unknown
  Time steady{};     // since an arbitrary point of this boot
  WallTime wall{};
};

ClockReading read_current_clock();

// The offset that converts a point on the old reading's steady clock to the new one's. Zero within one boot;
// across a reboot only the wall clock tells the elapsed time.
Time steady_shift(const ClockReading& before, const ClockReading& now);
// The same for a point on the wall clock.
Time wall_shift(const ClockReading& now);

}  // namespace fennellane::journal
