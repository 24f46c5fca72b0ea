// Processes of the relay, started by one another.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "descriptor.hpp"

namespace fennellane::upgrade {

// How this process was started, so that another can be in the same way.
struct CommandLine {
  std::string program;  // a path that another working directory does not change
  std::vector<std::string> arguments;
};
CommandLine command_line(int argc, char** argv);

// What a started process is told, as environment variables.
inline constexpr const char* kHandoverVariable = "FENNELLANE_HANDOVER";  // the connection's descriptor
inline constexpr const char* kWatcherVariable = "FENNELLANE_WATCHER";    // the process that watches over it

// Takes the variable out of the environment. -1: it is not there, or no number.
int consume_variable(const char* name);

struct Child {
  pid_t pid = -1;
  FileDescriptor pidfd;    // can be read once it has ended
  FileDescriptor channel;  // to it; none where it is not to take over
};

// Starts the program with nothing open but the standard streams and, where it is to take over, its end of a
// connection. Throws std::system_error: nothing has been started then.
Child launch(const CommandLine& command, pid_t watcher, bool takes_over);

// This process goes on as the program, in the same way as it was started. Returns only where that fails.
void reexec(const CommandLine& command, pid_t watcher);

}  // namespace fennellane::upgrade
