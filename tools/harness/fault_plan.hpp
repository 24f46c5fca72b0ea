// What a run of the fault laboratory does to its relays, partners and platform.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fennellane::harness {

// How a relay's first life ends.
enum class LifeEnd { sigterm, sigterm_then_kill, kill };

// Of one relay. Times are counted from when its clients begin.
struct RelayPlan {
  std::string rules;  // of the fault library
  // Where the rules hold: while the relay starts for the first time, while it serves, while it starts again.
  bool at_start = false, under_load = true, at_restart = true;
  std::chrono::milliseconds span{600};  // each time
  LifeEnd end = LifeEnd::sigterm_then_kill;
  int extra_signals = 0;  // SIGHUP and SIGTERM in a row before the end
  bool replace_folder = false;
  long clock_step_s = 0;  // of the wall clock, in the second life
  std::size_t idle_clients = 0;
};

// Answers that come once more on their connection.
struct CopyPlan {
  unsigned in_100 = 0;  // answers
  std::chrono::milliseconds after{};
  bool contrary = false;  // as the opposite of what was answered
};

struct FaultPlan {
  std::vector<RelayPlan> relays{RelayPlan{}};
  std::chrono::milliseconds relay_gap{};  // from one relay's faults and end to the next one's
  CopyPlan partner_copies, platform_copies;
  unsigned notices_refused_in_100 = 0;
  unsigned contested_in_100 = 0;  // messages whose id another client uses before their last byte is sent
  std::uint64_t seed = 1;         // of the load and of the answers
  bool plants_flaws = false;      // into the histories, for the checker to find
};

// Drawn from a seed.
FaultPlan draw_plan(std::uint64_t seed);
std::string plan_text(const FaultPlan& plan);

}  // namespace fennellane::harness
