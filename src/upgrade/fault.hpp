// Failures on order, so that an upgrade that fails at a given step can be rehearsed: each line of the file
// that FENNELLANE_FAULTS names is SIDE STEP ACT, as "new ready exit". Sides are `old` and `new`, steps those
// of the handover, acts `exit`, `kill` and `hang`. Without the variable nothing is looked for.
#pragma once

#include <string_view>

namespace fennellane::upgrade {

void fault_point(std::string_view side, std::string_view step);

}  // namespace fennellane::upgrade
