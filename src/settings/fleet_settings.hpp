// What the operators' settings say of work on behalf of the fleet.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "limits.hpp"
#include "roles.hpp"

namespace fennellane {

struct DrainSettings {  // the disruption budget
  drain::SlotSettings slot;
  std::string service;     // of the relays in the catalogue, whose health counts; empty: none is asked
  bool on_sigterm = true;  // a stop waits for a slot
  bool on_upgrade = true;  // an upgrade does
  bool operator==(const DrainSettings&) const = default;
};

struct ReleaseSettings {  // staged releases
  std::string folder;     // of the builds: each a program, its name the build's
  release::MoverSettings mover;
  release::CoordinatorSettings coordinator;
  bool operator==(const ReleaseSettings&) const = default;
};

struct EjectionSettings {  // the cap on endpoints out
  ejection::ReporterSettings reporter;
  ejection::ArbiterSettings arbiter;
  bool operator==(const EjectionSettings&) const = default;
};

struct FleetSettings {
  std::string key_prefix = "fennellane";  // of all keys in Consul
  std::vector<std::string> roles;         // that this relay may hold
  lease::Timing timing;
  Time blocking_wait =
      std::chrono::seconds(15);  // the longest that a read of a role's key waits for a change
  fleet::RefreshSettings refresh;
  std::string discovery_name;  // its name, where it has several addresses; empty: its address names it
  fleet::SweepSettings sweep;  // its service is empty where "sweep" is not among the roles
  std::optional<DrainSettings> drain;
  std::optional<ReleaseSettings> release;  // with `drain`
  std::optional<EjectionSettings> ejection;
  bool operator==(const FleetSettings&) const = default;
};

inline bool has_role(const FleetSettings& settings, const std::string& role) {
  return std::count(settings.roles.begin(), settings.roles.end(), role) > 0;
}
// The key of a role's lock.
inline std::string role_key(const FleetSettings& settings, const std::string& role) {
  return settings.key_prefix + "/role/" + role;
}
// The semaphore's: contenders' keys and the lock key lie below.
inline std::string budget_prefix(const FleetSettings& settings) { return settings.key_prefix + "/budget/"; }
inline std::string budget_key(const FleetSettings& settings) { return budget_prefix(settings) + ".lock"; }
inline std::string release_key(const FleetSettings& settings) {
  return settings.key_prefix + "/release/state";
}
inline std::string reports_prefix(const FleetSettings& settings) {
  return settings.key_prefix + "/release/relay/";
}

inline std::string verdict_key(const FleetSettings& settings) {
  return settings.key_prefix + "/ejection/verdict";
}
inline std::string degraded_prefix(const FleetSettings& settings) {
  return settings.key_prefix + "/ejection/relay/";
}

}  // namespace fennellane
