// What measurements share.
#pragma once

#include <sys/types.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace fennellane::standin {

// The value at that place from the least (0) to the largest (1), by the nearest rank; 0 of none.
inline double percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

// A process's memory in KB, as the system names it: "VmRSS" now, "VmHWM" at most; 0 if it is gone.
inline std::uint64_t memory_kb(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name + ":")) return std::stoull(line.substr(name.size() + 1));
  }
  return 0;
}

}  // namespace fennellane::standin
