// The sweep: which registrations of relays are stale and go from the catalogue. One relay does it for the
// whole fleet. Decisions only, without input, output or clock. See docs/ownership.md.
//
// A relay that ends well gives its registration back, and one that is killed is removed by its own Consul
// agent. What stays is what an agent has left that died together with its relay: Consul would keep it for
// three days.
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
  std::string service;                          // of the relays themselves
  Time every = std::chrono::seconds(30);        // between two looks at the catalogue
  Time stale_after = std::chrono::minutes(15);  // critical for so long, as this holder has seen it
  std::size_t max_removals = 16;                // removed in one transaction: Consul takes 64 operations
  bool operator==(const SweepSettings&) const = default;
};

// One registration as the catalogue shows it (GET /v1/health/service/NAME), with the ModifyIndex of the
// service and of its own check: one that has changed since is not removed (delete-cas).
struct Registration {
  std::string node, id, check;
  std::uint64_t service_index = 0, check_index = 0;
  bool critical = false;
};

class Sweep {
 public:
  explicit Sweep(const SweepSettings& settings) : settings_(settings) {}

  // What the newest look shows; returns those to be removed now, at most `most`. What is not in it is
  // forgotten, so that nothing grows with the registrations that ever were.
  std::vector<Registration> find_stale(Time now, const std::vector<Registration>& all);
  // A new holder has seen nothing yet: it does not go by what another relay saw on another clock.
  void reset() { critical_since_.clear(); }
  std::size_t tracked_count() const { return critical_since_.size(); }
  Time every() const { return settings_.every; }

 private:
  SweepSettings settings_;
  struct Seen {
    std::uint64_t check_index = 0;
    Time since{};
  };
  std::map<std::pair<std::string, std::string>, Seen> critical_since_;  // by node and id
};

}  // namespace fennellane::fleet
