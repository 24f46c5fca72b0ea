// Explores every interleaving of a handover: the real OldSide and NewSide, a journal in memory, a supervisor,
// up to three messages of which the first may not be repeated, and losses, time-outs and crashes at any step.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace fennellane::handover {

struct ModelBounds {
  int messages = 3;   // 1 to 3
  int upgrades = 1;   // asked for
  int crashes = 2;    // of any process, at any moment
  int failures = 1;   // of a start, a check, the state on its way or a fence
  int timeouts = 1;   // a time limit that runs out, at any moment
  int restarts = 2;   // by the supervisor
  bool fence = true;  // false: the planted bug, a journal that anyone may append to
  std::size_t most_states = 20'000'000;
};

struct ModelResult {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t ends = 0;            // states in which nothing is left to do
  bool whole = true;               // all was explored
  std::string broken;              // which rule; empty = none
  std::vector<std::string> trace;  // the shortest way there
};

ModelResult explore(const ModelBounds& bounds);

}  // namespace fennellane::handover
