// The `owners` command: reads from Consul which relay holds which role of the fleet.
#pragma once

#include <ostream>
#include <string>

#include "consul_settings.hpp"
#include "fleet_settings.hpp"

namespace fennellane {

// Prints one line per role: its name, the relay that holds it, the fencing token and the session. False, with
// `error` set, if Consul does not answer.
bool print_owners(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                  std::ostream& out, std::string& error);

}  // namespace fennellane
