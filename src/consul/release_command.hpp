// The operator's commands for drains and releases.
#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "consul_settings.hpp"
#include "fleet_settings.hpp"

namespace fennellane {

// The commands return false on failure, with the reason in `error`.

// Prints the budget and the holders of its slots; with `cap`, sets that first.
bool show_budget(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                 const std::optional<drain::Cap>& cap, std::ostream& out, std::string& error);

struct ReleaseRequest {
  enum class Action { status, start, halt, resume, back } action = Action::status;
  std::string from, to;            // start
  std::vector<std::string> steps;  // start
  bool auto_back = true;           // start
};
bool run_release_command(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                         const ReleaseRequest& request, std::ostream& out, std::string& error);

// The state after the command; `error` is set if the command is not possible. `id`: of a new release.
release::State next_state(const std::optional<release::State>& before, const ReleaseRequest& request,
                          const std::string& id, std::string& error);

}  // namespace fennellane
