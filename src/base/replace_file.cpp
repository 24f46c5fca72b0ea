#include "replace_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "descriptor.hpp"
#include "write_all.hpp"

namespace fennellane {
namespace {

// Returns 0 or the errno.
int write_file(const std::string& path, std::string_view text) {
  const FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
  return file.get() < 0 ? errno : write_all(file.get(), text);
}

}  // namespace

bool replace_file(const std::string& path, const std::string& temporary, std::string_view text) {
  int error = write_file(temporary, text);
  if (error == 0 && ::rename(temporary.c_str(), path.c_str()) != 0) error = errno;
  if (error == 0) return true;
  ::unlink(temporary.c_str());  // a partial file would count against the disk limit
  errno = error;
  return false;
}

}  // namespace fennellane
