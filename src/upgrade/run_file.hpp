// A small file in the state folder with the serving process and the result of the last upgrade. Read by the
// `upgrade` command and by the watcher process.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fennellane::upgrade {

struct RunFile {
  pid_t pid = 0;                        // of the serving process
  pid_t next_pid = 0;                   // of the new process while an upgrade is under way, otherwise 0
  std::uint64_t finished_upgrades = 0;  // successful or not
  bool last_succeeded = false;          // whether the last upgrade succeeded
  std::string last_result;              // its result in one line
};

std::optional<RunFile> read_run_file(const std::string& folder);
// Replaces the file atomically. False if writing failed; the old file stays then.
bool write_run_file(const std::string& folder, const RunFile& file);
void remove_run_file(const std::string& folder);

}  // namespace fennellane::upgrade
