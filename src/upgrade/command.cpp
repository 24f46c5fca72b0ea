#include "command.hpp"

#include <signal.h>

#include <cstdio>
#include <thread>

#include "journal.hpp"
#include "run_file.hpp"

namespace fennellane::upgrade {

int request_upgrade(const std::string& state_folder, std::chrono::seconds wait) {
  const auto before = read_run_file(state_folder);
  // A relay holds the lock. Guards another process, which has got the number of one that is gone, against a
  // signal.
  if (!before || !journal_is_locked(state_folder) || ::kill(before->pid, SIGUSR2) != 0) {
    std::fprintf(stderr, "fennellane: no relay that can be upgraded serves from %s\n", state_folder.c_str());
    return 1;
  }
  constexpr std::chrono::milliseconds kLook{10};
  const auto end = std::chrono::steady_clock::now() + wait;
  while (std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kLook);
    const auto now = read_run_file(state_folder);
    // The count of one that could not be written down, on a full disk, comes with the next one's beginning.
    if (!now || now->next_pid != 0 || now->finished_upgrades == before->finished_upgrades) continue;
    std::printf("%s\n", now->last_result.c_str());
    return now->last_succeeded ? 0 : 1;
  }
  const auto last = read_run_file(state_folder);
  const std::string said = last && last->pid == before->pid && last->last_result != before->last_result
                               ? ": " + last->last_result
                               : "";
  std::fprintf(stderr, "fennellane: process %d has not said how the upgrade went%s; see its log\n",
               static_cast<int>(before->pid), said.c_str());
  return 1;
}

}  // namespace fennellane::upgrade
