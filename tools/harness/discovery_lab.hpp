// One relay under load while its discovery fails, moves and returns, and while hosts drain, come and go. For
// tests and rehearsals.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fennellane::harness {

struct DiscoveryReport {
  std::string course;                   // what was done, in one line
  std::vector<std::string> violations;  // of the protocol
  std::size_t taken = 0, delivered = 0;
  std::size_t requests = 0;  // to discovery
  std::string log;           // of the relay
};

// All of the course is drawn from the seed.
DiscoveryReport run_discovery_faults(const std::string& program, std::uint64_t seed);

}  // namespace fennellane::harness
