#include "write_all.hpp"

#include <unistd.h>

#include <cerrno>

namespace fennellane {

int write_all(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(descriptor, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return written == 0 ? ENOSPC : errno;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return 0;
}

}  // namespace fennellane
