#include "watch.hpp"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <optional>
#include <thread>

#include "run_file.hpp"

namespace fennellane::upgrade {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A new process that takes over from a dead one has this long to serve, then it is killed.
constexpr std::chrono::seconds kTakeoverTimeout{2};
constexpr milliseconds kResendWindow{200};
constexpr milliseconds kPollInterval{2};
constexpr std::size_t kMaxResent = 16;

bool is_child(pid_t pid) {
  siginfo_t info{};
  return ::waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0;
}

bool any_child() {
  siginfo_t info{};
  return ::waitid(P_ALL, 0, &info, WEXITED | WNOHANG | WNOWAIT) == 0;
}

int exit_like(int status) {
  if (WIFEXITED(status)) return WEXITSTATUS(status);
  const int number = WTERMSIG(status);
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  ::signal(number, SIG_DFL);
  sigset_t none;
  sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::raise(number);
  return 128 + number;
}

class Watcher {
 public:
  Watcher(pid_t serving, std::string state_folder)
      : serving_pid_(serving), state_folder_(std::move(state_folder)) {}

  void forward_signal(int number) {
    const auto now = steady_clock::now();
    while (!sent_signals_.empty() &&
           (sent_signals_.size() >= kMaxResent || now - sent_signals_.front().sent_at > kResendWindow))
      sent_signals_.pop_front();
    sent_signals_.push_back({number, now});
    ::kill(serving_pid_, number);
  }

  // The exit status of the relay, once no process of it continues.
  std::optional<int> reap() {
    int status = 0;
    for (pid_t pid; (pid = ::waitpid(-1, &status, WNOHANG)) > 0;) {
      if (pid != serving_pid_) continue;
      const int exit_status = status;
      const std::optional<pid_t> next =
          find_successor(WIFEXITED(exit_status) && WEXITSTATUS(exit_status) == kHandedOverExitCode);
      if (!next) return exit_status;
      serving_pid_ = *next;
      // The previous process may have exited before it handled a signal that it received shortly before.
      const auto now = steady_clock::now();
      for (const SentSignal& signal : sent_signals_) {
        if (signal.number != SIGUSR2 && now - signal.sent_at <= kResendWindow)
          ::kill(serving_pid_, signal.number);
      }
    }
    return std::nullopt;
  }

 private:
  struct SentSignal {
    int number;
    steady_clock::time_point sent_at;
  };

  // `handed_over`: the previous process has reported that another one serves.
  std::optional<pid_t> find_successor(bool handed_over) {
    const auto deadline = steady_clock::now() + kTakeoverTimeout;
    std::optional<RunFile> file;
    while (any_child()) {
      file = read_run_file(state_folder_);
      if (file && file->pid != serving_pid_ && is_child(file->pid)) return file->pid;
      if (handed_over && file && file->next_pid > 0 && is_child(file->next_pid)) return file->next_pid;
      if (file && (file->next_pid <= 0 || !is_child(file->next_pid))) return std::nullopt;
      // The new process may have exited, so that none serves.
      siginfo_t info{};
      if (file && ::waitid(P_PID, static_cast<id_t>(file->next_pid), &info, WEXITED | WNOHANG) == 0 &&
          info.si_pid == file->next_pid) {
        return std::nullopt;
      }
      if (steady_clock::now() > deadline) {
        // A process that hangs could otherwise start to serve later without a watcher.
        if (file) ::kill(file->next_pid, SIGKILL);
        return std::nullopt;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return std::nullopt;
  }

  pid_t serving_pid_;
  const std::string state_folder_;
  std::deque<SentSignal> sent_signals_;
};

}  // namespace

int run_watcher(const CommandLine& command, const std::string& state_folder) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2, SIGCHLD}) sigaddset(&signals, number);
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
  ::prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0);
  const Child child = launch(command, ::getpid(), false);
  Watcher watcher(child.pid, state_folder);
  while (true) {
    int number = 0;
    if (::sigwait(&signals, &number) != 0) continue;
    if (number != SIGCHLD) {
      watcher.forward_signal(number);
    } else if (const std::optional<int> exit_status = watcher.reap()) {
      return exit_like(*exit_status);
    }
  }
}

void set_parent_death_signal(pid_t watcher) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
  if (::getppid() != watcher) ::raise(SIGKILL);
}

}  // namespace fennellane::upgrade
