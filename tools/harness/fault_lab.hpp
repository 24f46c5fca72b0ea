// Relays under load while their system calls fail, their processes end and their clocks step, and a checker
// of what came of it over the histories of clients, partners and platform.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fennellane::harness {

// One run. Times are counted from when the load begins.
struct FaultPlan {
  std::string rules;  // of the fault library
  // Where the rules hold: while the relay starts for the first time, while it serves, while it starts again.
  bool at_start = false, under_load = true, at_restart = true;
  std::chrono::milliseconds span{600};  // each time
  bool counted = false;                 // the rules end by themselves, by their count
  enum class End { sigterm, sigterm_then_kill, kill } end = End::sigterm_then_kill;
  int extra_signals = 0;  // SIGHUP and SIGTERM in a row before the end
  bool replace_folder = false;
  long clock_step_s = 0;  // of the wall clock, in the second life
  std::size_t idle_clients = 0;
  std::uint64_t seed = 1;     // of the load and of the partners' answers
  bool plants_flaws = false;  // into the histories, for the checker to find
};

// Drawn from a seed.
FaultPlan draw_plan(std::uint64_t seed);
std::string plan_text(const FaultPlan& plan);

struct FaultReport {
  std::size_t handed_in = 0, taken = 0, refused = 0, unanswered = 0, delivered = 0, noticed = 0;
  std::vector<std::string> violations;  // none: the run was right
  std::string log;                      // the relay's, kept where there are any
};

// `program` is the relay, `library` what is preloaded into it.
FaultReport run_faults(const std::string& program, const std::string& library, const FaultPlan& plan);

}  // namespace fennellane::harness
