// The watcher: the process that a supervisor knows and that stays while upgrades replace the serving process.
// It starts the relay, forwards signals to the serving process and exits with the same status.
#pragma once

#include <string>

#include "launch.hpp"

namespace fennellane::upgrade {

// Exit code of a process that has handed over to another.
inline constexpr int kHandedOverExitCode = 88;

// Returns the relay's exit code; if a signal ended the relay, this process ends itself with the same signal.
// Throws std::system_error if the relay cannot be started.
int run_watcher(const CommandLine& command, const std::string& state_folder);

// Called by a serving process: the kernel kills it when its watcher dies, so that killing the watcher kills
// the relay.
void set_parent_death_signal(pid_t watcher);

}  // namespace fennellane::upgrade
