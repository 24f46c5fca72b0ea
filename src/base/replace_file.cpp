#include "replace_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "descriptor.hpp"

namespace fennellane {
namespace {

bool write_file(const std::string& path, std::string_view text) {
  const FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  if (file.get() < 0) return false;
  while (!text.empty()) {
    const ssize_t n = ::write(file.get(), text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

bool replace_file(const std::string& path, const std::string& fresh, std::string_view text) {
  if (write_file(fresh, text) && ::rename(fresh.c_str(), path.c_str()) == 0) return true;
  const int why = errno;
  ::unlink(fresh.c_str());  // guards the disk's limit against half a file
  errno = why;
  return false;
}

}  // namespace fennellane
