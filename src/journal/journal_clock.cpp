#include "journal_clock.hpp"

#include <chrono>
#include <fstream>

namespace fennellane::journal {
namespace {

std::string boot_id() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  file >> id;
  return id;
}

}  // namespace

ClockReading read_current_clock() {
  static const std::string boot = boot_id();
  using std::chrono::duration_cast;
  return {boot, duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch()),
          duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch())};
}

Time steady_shift(const ClockReading& before, const ClockReading& now) {
  const bool same_clock = !now.boot.empty() && before.boot == now.boot && before.steady <= now.steady;
  return same_clock ? Time(0) : before.wall - before.steady + wall_shift(now);
}

Time wall_shift(const ClockReading& now) { return now.steady - now.wall; }

}  // namespace fennellane::journal
