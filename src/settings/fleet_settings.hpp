// The section of the operators' settings on work on behalf of the fleet.
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
  std::string service;     // the relays' in the catalogue, whose health counts; empty: not queried
  bool on_sigterm = true;  // whether a stop waits for a slot
  bool on_upgrade = true;  // whether an upgrade does
  bool operator==(const DrainSettings&) const = default;
};

struct ReleaseSettings {  // staged releases
  std::string folder;     // of the builds; each file is a program and named after its build
  release::MoverSettings mover;
  release::CoordinatorSettings coordinator;
  bool operator==(const ReleaseSettings&) const = default;
};

struct EjectionSettings {  // the cap on ejected endpoints
  ejection::ReporterSettings reporter;
  ejection::ArbiterSettings arbiter;
  bool operator==(const EjectionSettings&) const = default;
};

struct FleetSettings {
  std::string key_prefix = "fennellane";  // of all keys in Consul
  std::vector<std::string> roles;         // that this relay may hold
  lease::Timing timing;
  Time blocking_wait = std::chrono::seconds(15);  // longest wait of a blocking read of a role's key
  fleet::RefreshSettings refresh;
  std::string discovery_name;  // name of discovery, if it has several addresses; empty: its address
  fleet::SweepSettings sweep;  // `service` is empty unless "sweep" is among the roles
  std::optional<DrainSettings> drain;
  std::optional<ReleaseSettings> release;  // with `drain`
  std::optional<EjectionSettings> ejection;
  bool operator==(const FleetSettings&) const = default;
};

inline bool has_role(const FleetSettings& settings, const std::string& role) {
  return std::count(settings.roles.begin(), settings.roles.end(), role) > 0;
}
// Key of a role's lock.
inline std::string role_key(const FleetSettings& settings, const std::string& role) {
  return settings.key_prefix + "/role/" + role;
}
// Prefix of the semaphore's contender keys and its lock key.
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
