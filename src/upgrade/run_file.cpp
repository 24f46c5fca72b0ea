#include "run_file.hpp"

#include <unistd.h>

#include <fstream>

#include "replace_file.hpp"

namespace fennellane::upgrade {
namespace {

constexpr const char* kFileName = "/serving";
constexpr const char* kTemporaryName = "/serving.new";
constexpr std::size_t kMaxResultBytes = 300;  // keeps the file within one disk block

}  // namespace

std::optional<RunFile> read_run_file(const std::string& folder) {
  std::ifstream in(folder + kFileName);
  RunFile file;
  std::string key, outcome;
  if (!(in >> key >> file.pid) || key != "pid" || file.pid <= 0) return std::nullopt;
  if (!(in >> key >> file.next_pid) || key != "next") return std::nullopt;
  if (!(in >> key >> file.finished_upgrades) || key != "tries" || !(in >> key >> outcome) || key != "last")
    return std::nullopt;
  file.last_succeeded = outcome == "good";
  std::getline(in >> std::ws, file.last_result);
  return file;
}

bool write_run_file(const std::string& folder, const RunFile& file) {
  const std::string text = "pid " + std::to_string(file.pid) + "\nnext " + std::to_string(file.next_pid) +
                           "\ntries " + std::to_string(file.finished_upgrades) + "\nlast " +
                           (file.last_succeeded ? "good " : "bad ") +
                           file.last_result.substr(0, kMaxResultBytes) + "\n";
  return replace_file(folder + kFileName, folder + kTemporaryName, text);
}

void remove_run_file(const std::string& folder) { ::unlink((folder + kFileName).c_str()); }

}  // namespace fennellane::upgrade
