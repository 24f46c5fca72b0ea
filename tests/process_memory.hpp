// The memory of a relay under test, held against its limit.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <fstream>
#include <string>

namespace fennellane::test {

// The limit is 192 MB; a half of it is left for messages, lists and calls.
constexpr std::size_t kMostClientsMb = 96;
// With sanitizers the process holds their memory as well.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// In MB; `name` as in /proc/PID/status: "VmRSS:" now, "VmHWM:" at the most so far.
inline std::size_t memory_mb(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::size_t kib = 0;
  while (in >> word) {
    if (word == name) in >> kib;
  }
  return kib / 1024;
}
inline std::size_t resident_mb(pid_t pid) { return memory_mb(pid, "VmRSS:"); }
inline std::size_t peak_mb(pid_t pid) { return memory_mb(pid, "VmHWM:"); }

}  // namespace fennellane::test
