// Who holds which role of the fleet, asked of Consul: for the command line.
#pragma once

#include <ostream>
#include <string>

#include "consul_settings.hpp"
#include "fleet_settings.hpp"

namespace fennellane {

// One line a role: its name, the relay that holds it, the session and the fencing token. False where Consul
// has not said; `trouble` says why.
bool print_owners(const ConsulSettings& consul, const FleetSettings& settings, const Limits& limits,
                  std::ostream& out, std::string& trouble);

}  // namespace fennellane
