// A small file in the state folder that says which process serves and how the last upgrade went: for the
// `upgrade` command and for the process that watches over the relay.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace fennellane::upgrade {

struct RunFile {
  pid_t pid = 0;                        // that serves
  pid_t next_pid = 0;                   // that is to take over, while an upgrade is under way; 0 = none is
  std::uint64_t finished_upgrades = 0;  // upgrades that have ended, well or not
  bool last_succeeded = false;          // the last of them took over
  std::string last_result;              // what was said of it, one line
};

std::optional<RunFile> read_run_file(const std::string& folder);
// In one step; false if the disk does not take it, and the old one stays.
bool write_run_file(const std::string& folder, const RunFile& file);
void remove_run_file(const std::string& folder);

}  // namespace fennellane::upgrade
