#include "run_file.hpp"

#include <unistd.h>

#include <cstdio>
#include <fstream>

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
  {
    std::ofstream out(folder + kNewName, std::ios::trunc);
    out << "pid " << file.pid << "\nnext " << file.next << "\ntries " << file.tries << "\nlast "
        << (file.good ? "good " : "bad ") << file.last.substr(0, kMostLast) << "\n";
    out.flush();
    if (!out) return false;
  }
  return std::rename((folder + kNewName).c_str(), (folder + kName).c_str()) == 0;
}

void remove_run_file(const std::string& folder) { ::unlink((folder + kName).c_str()); }

}  // namespace fennellane::upgrade
