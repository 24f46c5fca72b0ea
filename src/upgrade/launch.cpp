#include "launch.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <system_error>

#include "number.hpp"

extern char** environ;

namespace fennellane::upgrade {
namespace {

constexpr int kChannelDescriptor = 3;  // its number in the started process
constexpr int kMaxPid = 1 << 30;

[[noreturn]] void throw_system_error(int error, const std::string& context) {
  throw std::system_error(error, std::generic_category(), context);
}

std::vector<char*> argument_pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// "NAME=", as each entry of an environment begins.
std::string assignment_prefix(const char* name) {
  std::string prefix = name;
  prefix += '=';
  return prefix;
}

void set_variable(std::vector<std::string>& environment, const char* name, long value) {
  std::string& entry = environment.emplace_back(assignment_prefix(name));
  entry += std::to_string(value);
}

std::vector<std::string> child_environment(pid_t watcher, bool takes_over) {
  std::vector<std::string> variables;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string text = *variable;
    if (text.starts_with(assignment_prefix(kHandoverVariable))) continue;
    if (text.starts_with(assignment_prefix(kWatcherVariable))) continue;
    variables.push_back(text);
  }
  set_variable(variables, kWatcherVariable, watcher);
  if (takes_over) set_variable(variables, kHandoverVariable, kChannelDescriptor);
  return variables;
}

class SpawnOptions {
 public:
  SpawnOptions() {
    posix_spawn_file_actions_init(&files_);
    posix_spawnattr_init(&attributes_);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes_, &none);
    posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK);
  }
  ~SpawnOptions() {
    posix_spawn_file_actions_destroy(&files_);
    posix_spawnattr_destroy(&attributes_);
  }
  SpawnOptions(const SpawnOptions&) = delete;
  SpawnOptions& operator=(const SpawnOptions&) = delete;
  posix_spawn_file_actions_t* files() { return &files_; }
  posix_spawnattr_t* attributes() { return &attributes_; }

 private:
  posix_spawn_file_actions_t files_{};
  posix_spawnattr_t attributes_{};
};

}  // namespace

CommandLine command_line(int argc, char** argv) {
  CommandLine command;
  command.arguments.assign(argv, argv + argc);
  const std::string name = argc > 0 ? argv[0] : "";
  std::error_code error;
  // A name without a slash was found through PATH, so the path of the running file is used.
  command.program = name.find('/') != std::string::npos
                        ? std::filesystem::absolute(name, error).string()
                        : std::filesystem::read_symlink("/proc/self/exe", error).string();
  if (error) command.program = name;
  return command;
}

int consume_variable(const char* name) {
  const char* const text = std::getenv(name);
  if (text == nullptr) return -1;
  const auto number = parse_unsigned(text, kMaxPid);
  ::unsetenv(name);
  return number ? static_cast<int>(*number) : -1;
}

Child launch(const CommandLine& command, pid_t watcher, bool takes_over) {
  int ends[2] = {-1, -1};
  if (takes_over && ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw_system_error(errno, "no connection");
  Child child;
  child.channel = FileDescriptor(ends[0]);
  const FileDescriptor child_end(ends[1]);
  SpawnOptions options;
  if (takes_over) posix_spawn_file_actions_adddup2(options.files(), child_end.get(), kChannelDescriptor);
  // Otherwise clients' connections would stay open in a process that does not know them.
  posix_spawn_file_actions_addclosefrom_np(options.files(),
                                           takes_over ? kChannelDescriptor + 1 : kChannelDescriptor);
  std::vector<std::string> arguments = command.arguments;
  std::vector<std::string> environment = child_environment(watcher, takes_over);
  const int error = ::posix_spawn(&child.pid, command.program.c_str(), options.files(), options.attributes(),
                                  argument_pointers(arguments).data(), argument_pointers(environment).data());
  if (error != 0) throw_system_error(error, command.program);
  child.pidfd = FileDescriptor(static_cast<int>(::syscall(SYS_pidfd_open, child.pid, 0)));
  if (child.pidfd.get() < 0) {
    const int pidfd_error = errno;
    ::kill(child.pid, SIGKILL);
    ::waitpid(child.pid, nullptr, 0);
    throw_system_error(pidfd_error, "the new process cannot be watched");
  }
  return child;
}

void reexec(const CommandLine& command, pid_t watcher) {
  ::close_range(kChannelDescriptor, ~0U, CLOSE_RANGE_CLOEXEC);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  std::vector<std::string> arguments = command.arguments;
  std::vector<std::string> environment = child_environment(watcher, false);
  // The running file, even if another file has its name now.
  ::execve("/proc/self/exe", argument_pointers(arguments).data(), argument_pointers(environment).data());
}

}  // namespace fennellane::upgrade
