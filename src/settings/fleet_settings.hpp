// What the operators' settings say of work on behalf of the fleet.
#pragma once

#include <string>
#include <vector>

#include "roles.hpp"

namespace fennellane {

struct FleetSettings {
  std::string prefix = "fennellane";  // of all keys in Consul
  std::vector<std::string> roles;     // that this relay may hold
  lease::Timing timing;
  Time wait = std::chrono::seconds(15);  // the longest that a read of a role's key waits for a change
  fleet::SweepSettings sweep;            // its service is empty where "sweep" is not among the roles
  bool operator==(const FleetSettings&) const = default;
};

// The key of a role's lock.
inline std::string role_key(const FleetSettings& settings, const std::string& role) {
  return settings.prefix + "/role/" + role;
}

}  // namespace fennellane
