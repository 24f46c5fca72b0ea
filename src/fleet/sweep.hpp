// The sweep decides which registrations of relays are stale and have to be removed from the catalogue. One
// relay does this for the whole fleet. Pure state machine: performs no I/O and reads no clock. See
// docs/ownership.md.
//
// A relay that exits normally deregisters itself, and the Consul agent removes one that was killed. What
// remains are registrations whose agent died together with the relay: Consul would keep these for three days.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lease.hpp"

namespace fennellane::fleet {

using lease::Time;
using lease::Token;

struct SweepSettings {
  std::string service;                          // under which the relays are registered
  Time every = std::chrono::seconds(30);        // between two reads of the catalogue
  Time stale_after = std::chrono::minutes(15);  // how long this holder must have seen it critical
  std::size_t max_removals = 16;                // per transaction: Consul accepts 64 operations
  bool operator==(const SweepSettings&) const = default;
};

// One registration as read from the catalogue (GET /v1/health/service/NAME), with the ModifyIndex of the
// service and of its own check: a registration that has changed since is not removed (delete-cas).
struct Registration {
  std::string node, id, check;
  std::uint64_t service_index = 0, check_index = 0;
  bool critical = false;
};

class Sweep {
 public:
  explicit Sweep(const SweepSettings& settings) : settings_(settings) {}

  // Evaluates the newest read of the catalogue and returns the registrations to remove now, at most
  // `max_removals`. Registrations missing from it are no longer tracked, which bounds the memory.
  std::vector<Registration> find_stale(Time now, const std::vector<Registration>& registrations);
  // A new holder starts without observations: those of another relay were made on another clock.
  void reset() { critical_since_.clear(); }
  std::size_t tracked_count() const { return critical_since_.size(); }
  Time every() const { return settings_.every; }

 private:
  SweepSettings settings_;
  struct Observation {
    std::uint64_t check_index = 0;
    Time since{};
  };
  std::map<std::pair<std::string, std::string>, Observation> critical_since_;  // by node and service id
};

}  // namespace fennellane::fleet
