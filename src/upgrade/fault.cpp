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
  for (std::string of, at, act; in >> of >> at >> act;) {
    if (of != side || at != step) continue;
    constexpr int kFaultExit = 9;
    if (act == "exit") ::_exit(kFaultExit);
    if (act == "kill") ::raise(SIGKILL);
    if (act == "hang") {
      while (true) ::pause();
    }
  }
}

}  // namespace fennellane::upgrade
