// What operators ask of drains and releases on the command line: one question to Consul each.
#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "consul_settings.hpp"
#include "fleet_settings.hpp"

namespace fennellane {

// All return false where it could not be done, and say why in `trouble`.

// Prints the budget and who holds its slots; with `cap`, sets that first.
bool show_budget(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                 const std::optional<drain::Cap>& cap, std::ostream& out, std::string& trouble);

struct ReleaseRequest {
  enum class Action { status, start, halt, resume, back } action = Action::status;
  std::string from, to;            // start
  std::vector<std::string> steps;  // start
  bool auto_back = true;           // start
};
bool run_release_command(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                         const ReleaseRequest& order, std::ostream& out, std::string& trouble);

// What an order makes of the state; empty `trouble` where it can be given. `id` is a new release's.
release::State next_state(const std::optional<release::State>& before, const ReleaseRequest& order,
                          const std::string& id, std::string& trouble);

}  // namespace fennellane
