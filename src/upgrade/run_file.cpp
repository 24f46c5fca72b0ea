#include "run_file.hpp"

#include <unistd.h>

#include <fstream>

#include "replace_file.hpp"

namespace fennellane::upgrade {
namespace {

constexpr const char* kName = "/serving";
constexpr const char* kNewName = "/serving.new";
constexpr std::size_t kMostLast = 300;  // bytes; one block of the disk holds the file

}  // namespace

std::optional<RunFile> read_run_file(const std::string& folder) {
  std::ifstream in(folder + kName);
  RunFile file;
  std::string word, end;
  if (!(in >> word >> file.pid) || word != "pid" || file.pid <= 0) return std::nullopt;
  if (!(in >> word >> file.next) || word != "next") return std::nullopt;
  if (!(in >> word >> file.tries) || word != "tries" || !(in >> word >> end) || word != "last")
    return std::nullopt;
  file.good = end == "good";
  std::getline(in >> std::ws, file.last);
  return file;
}

bool write_run_file(const std::string& folder, const RunFile& file) {
  const std::string text = "pid " + std::to_string(file.pid) + "\nnext " + std::to_string(file.next) +
                           "\ntries " + std::to_string(file.tries) + "\nlast " +
                           (file.good ? "good " : "bad ") + file.last.substr(0, kMostLast) + "\n";
  return replace_file(folder + kName, folder + kNewName, text);
}

void remove_run_file(const std::string& folder) { ::unlink((folder + kName).c_str()); }

}  // namespace fennellane::upgrade
