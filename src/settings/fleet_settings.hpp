// What the operators' settings say of work on behalf of the fleet.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "roles.hpp"

namespace fennellane {

struct FleetSettings {
  std::string prefix = "fennellane";  // of all keys in Consul
  std::vector<std::string> roles;     // that this relay may hold
  lease::Timing timing;
  Time wait = std::chrono::seconds(15);  // the longest that a read of a role's key waits for a change
  fleet::RefreshSettings refresh;
  std::string discovery;       // its name, where it has several addresses; empty: its address names it
  fleet::SweepSettings sweep;  // its service is empty where "sweep" is not among the roles
  bool operator==(const FleetSettings&) const = default;
};

inline bool has_role(const FleetSettings& settings, const std::string& role) {
  return std::count(settings.roles.begin(), settings.roles.end(), role) > 0;
}
// The key of a role's lock.
inline std::string role_key(const FleetSettings& settings, const std::string& role) {
  return settings.prefix + "/role/" + role;
}

}  // namespace fennellane
