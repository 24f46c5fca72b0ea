// Relays under load while their system calls fail, their processes end, their clocks step and their peers'
// answers come more than once, and a check of what came of it.
#pragma once

#include <string>

#include "fault_history.hpp"
#include "fault_plan.hpp"

namespace fennellane::harness {

// `program` is the relay, `library` what is preloaded into it.
FaultReport run_faults(const std::string& program, const std::string& library, const FaultPlan& plan);

}  // namespace fennellane::harness
