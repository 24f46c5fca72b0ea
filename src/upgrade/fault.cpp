#include "fault.hpp"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace fennellane::upgrade {

void fault_point(std::string_view side, std::string_view step) {
  const char* const path = std::getenv("FENNELLANE_FAULTS");
  if (path == nullptr) return;
  std::ifstream in(path);
  for (std::string fault_side, fault_step, action; in >> fault_side >> fault_step >> action;) {
    if (fault_side != side || fault_step != step) continue;
    constexpr int kFaultExitCode = 9;
    if (action == "exit") ::_exit(kFaultExitCode);
    if (action == "kill") ::raise(SIGKILL);
    if (action == "hang") {
      while (true) ::pause();
    }
  }
}

}  // namespace fennellane::upgrade
