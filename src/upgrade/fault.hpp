// Fault injection for tests of upgrades that fail at a given step. Each line of the file named by
// FENNELLANE_FAULTS is SIDE STEP ACTION, for example "new ready exit". Sides are `old` and `new`, steps are
// those of the handover, actions are `exit`, `kill` and `hang`. Without the variable this does nothing.
#pragma once

#include <string_view>

namespace fennellane::upgrade {

void fault_point(std::string_view side, std::string_view step);

}  // namespace fennellane::upgrade
