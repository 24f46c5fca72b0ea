// The process that stays while the relay's own come and go by upgrades: the one that a supervisor knows. It
// starts the relay, hands signals on to whichever process serves, and ends as that one does.
#pragma once

#include <string>

#include "launch.hpp"

namespace fennellane::upgrade {

// The code with which a process ends that has left its work to another.
inline constexpr int kHandedOverExitCode = 88;

// Returns the exit code; where the relay was ended by a signal, this process is ended by the same. Throws
// std::system_error where nothing can be started.
int run_watcher(const CommandLine& command, const std::string& state_folder);

// In a process that serves: should its watcher die, it is killed at once, so that whoever kills the one has
// killed the relay.
void set_parent_death_signal(pid_t watcher);

}  // namespace fennellane::upgrade
