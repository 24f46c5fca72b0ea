// Starting one process of the relay from another.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "descriptor.hpp"

namespace fennellane::upgrade {

// How this process was started, so that another can be started in the same way.
struct CommandLine {
  std::string program;  // a path that does not depend on the working directory
  std::vector<std::string> arguments;
};
CommandLine command_line(int argc, char** argv);

// Environment variables passed to a started process.
inline constexpr const char* kHandoverVariable = "FENNELLANE_HANDOVER";  // descriptor of the handover channel
inline constexpr const char* kWatcherVariable = "FENNELLANE_WATCHER";    // pid of the watcher

// Reads the variable and removes it from the environment. -1: it is absent or no number.
int consume_variable(const char* name);

struct Child {
  pid_t pid = -1;
  FileDescriptor pidfd;    // becomes readable when the process exits
  FileDescriptor channel;  // to the process; none unless it takes over
};

// Starts the program with only the standard streams open and, if it is to take over, its end of a channel.
// Throws std::system_error; nothing has been started then.
Child launch(const CommandLine& command, pid_t watcher, bool takes_over);

// Executes the running program again in this process, with the same arguments. Returns only on failure.
void reexec(const CommandLine& command, pid_t watcher);

}  // namespace fennellane::upgrade
