#include "command.hpp"

#include <signal.h>

#include <cstdio>
#include <thread>

#include "journal.hpp"
#include "run_file.hpp"

namespace fennellane::upgrade {

int request_upgrade(const std::string& state_folder, std::chrono::seconds wait) {
  const auto before = read_run_file(state_folder);
  // Only a running relay holds the lock. Without this check, another process that got the pid of an exited
  // relay would receive the signal.
  if (!before || !journal_is_locked(state_folder) || ::kill(before->pid, SIGUSR2) != 0) {
    std::fprintf(stderr, "fennellane: no relay that can be upgraded serves from %s\n", state_folder.c_str());
    return 1;
  }
  constexpr std::chrono::milliseconds kPollInterval{10};
  const auto deadline = std::chrono::steady_clock::now() + wait;
  while (std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    const auto current = read_run_file(state_folder);
    // If the result could not be written (disk full), the new count appears when the next upgrade starts.
    if (!current || current->next_pid != 0 || current->finished_upgrades == before->finished_upgrades)
      continue;
    std::printf("%s\n", current->last_result.c_str());
    return current->last_succeeded ? 0 : 1;
  }
  const auto last = read_run_file(state_folder);
  const std::string latest = last && last->pid == before->pid && last->last_result != before->last_result
                                 ? ": " + last->last_result
                                 : "";
  std::fprintf(stderr, "fennellane: process %d has not reported the result of the upgrade%s; see its log\n",
               static_cast<int>(before->pid), latest.c_str());
  return 1;
}

}  // namespace fennellane::upgrade
