// A library that is preloaded into a relay by tests and tools, never in service, and makes system calls fail.
//
// FENNELLANE_FAULTS holds rules, separated by ';'. A rule is words of the form name=value:
//   call    the function, e.g. write; needed. peek: a recv that leaves what it reads
//   errno   what it fails with, by name, e.g. EIO; needed unless `short` stands alone
//   short   so many bytes at most are written or read by each first call of two; with an errno the second
//   fails path    only for descriptors and names whose path contains this skip    matching calls that pass
//   first count   matching calls that fail after these; none given: all every   of these only each N-th
//   from_ms, to_ms  milliseconds since the process started between which the rule holds
// FENNELLANE_FAULT_SWITCH names a file: rules hold only while it exists.
// FENNELLANE_FAULT_CLOCK_S is added to the wall clock, in seconds.
//
// Only system calls that every 64-bit Linux has are used: newer architectures lack open, stat, unlink and
// their like.
//
// An accept that fails with ECONNABORTED takes the connection and closes it, as the system does.
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <string_view>

namespace {

struct Rule {
  std::string call, path;
  int error = 0;
  long short_bytes = 0;  // 0: none
  long skip = 0, count = LONG_MAX, every = 1, from_ms = 0, to_ms = LONG_MAX;
  std::atomic<long> seen = 0;
};

constexpr std::size_t kMostRules = 16;
constexpr int kHighestError = 133;
constexpr std::size_t kKernelSignalSetSize = 8;  // bytes, of the kernel's sigset_t

int error_number(std::string_view name) {
  for (int number = 1; number <= kHighestError; ++number) {
    const char* const known = strerrorname_np(number);
    if (known != nullptr && name == known) return number;
  }
  return EIO;
}

long now_ms() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

class Faults {
 public:
  Faults() : began_ms_(now_ms()) {
    const char* const rules = getenv("FENNELLANE_FAULTS");
    std::string_view text = rules == nullptr ? "" : rules;
    while (!text.empty() && size_ < kMostRules) {
      const std::string_view one = text.substr(0, text.find(';'));
      text.remove_prefix(std::min(text.size(), one.size() + 1));
      read(one, rules_[size_++]);
    }
    if (const char* const name = getenv("FENNELLANE_FAULT_SWITCH")) switch_ = name;
    if (const char* const shift = getenv("FENNELLANE_FAULT_CLOCK_S")) clock_shift_s_ = atol(shift);
  }

  long clock_shift_s() const { return clock_shift_s_; }

  // The rule that holds for this call, whose path is asked for only where a rule has one.
  template <class PathOf>
  Rule* match(std::string_view call, PathOf path_of) {
    for (std::size_t i = 0; i < size_; ++i) {
      Rule& rule = rules_[i];
      if (rule.call != call || !holds(rule)) continue;
      if (!rule.path.empty() && path_of().find(rule.path) == std::string::npos) continue;
      const long nth = rule.seen++;
      if (nth < rule.skip || nth - rule.skip >= rule.count || (nth - rule.skip) % rule.every != 0) continue;
      return &rule;
    }
    return nullptr;
  }

 private:
  bool holds(const Rule& rule) const {
    if (!switch_.empty() && syscall(SYS_faccessat, AT_FDCWD, switch_.c_str(), F_OK) != 0) return false;
    const long at = now_ms() - began_ms_;
    return at >= rule.from_ms && at < rule.to_ms;
  }
  static void read(std::string_view text, Rule& rule) {
    while (!text.empty()) {
      const std::string_view word = text.substr(0, text.find(' '));
      text.remove_prefix(std::min(text.size(), word.size() + 1));
      const std::size_t equals = word.find('=');
      if (equals == std::string_view::npos) continue;
      set(rule, word.substr(0, equals), std::string(word.substr(equals + 1)));
    }
  }
  static void set(Rule& rule, std::string_view name, const std::string& value) {
    const long number = atol(value.c_str());
    if (name == "call") rule.call = value;
    if (name == "path") rule.path = value;
    if (name == "errno") rule.error = error_number(value);
    if (name == "short") rule.short_bytes = number;
    if (name == "skip") rule.skip = number;
    if (name == "count") rule.count = number;
    if (name == "every") rule.every = std::max(1L, number);
    if (name == "from_ms") rule.from_ms = number;
    if (name == "to_ms") rule.to_ms = number;
  }

  const long began_ms_;
  std::array<Rule, kMostRules> rules_;
  std::size_t size_ = 0;
  std::string switch_;
  long clock_shift_s_ = 0;
};

Faults& faults() {
  static Faults* const all = new Faults;  // outlives every static destructor
  return *all;
}

std::string path_of_descriptor(int fd) {
  char path[PATH_MAX];
  const std::string link = "/proc/self/fd/" + std::to_string(fd);
  const ssize_t size = syscall(SYS_readlinkat, AT_FDCWD, link.c_str(), path, sizeof path);
  return size > 0 ? std::string(path, static_cast<std::size_t>(size)) : std::string();
}

// Whether the call fails now; errno is set then.
bool fails(std::string_view call, int fd = -1) {
  const int before = errno;
  const Rule* const rule = faults().match(call, [fd] { return path_of_descriptor(fd); });
  errno = rule == nullptr ? before : rule->error;
  return rule != nullptr;
}
bool fails_on(std::string_view call, const char* path) {
  const int before = errno;
  const Rule* const rule = faults().match(call, [path] { return std::string(path); });
  errno = rule == nullptr ? before : rule->error;
  return rule != nullptr;
}

// Of a call that moves bytes: how many it may move; none where it fails.
std::optional<std::size_t> allowed(std::string_view call, int fd, std::size_t wanted) {
  const int before = errno;
  Rule* const rule = faults().match(call, [fd] { return path_of_descriptor(fd); });
  errno = before;
  if (rule == nullptr) return wanted;
  const bool moves_some = rule->short_bytes > 0 && (rule->error == 0 || rule->seen % 2 == 1);
  if (moves_some) return std::min(wanted, static_cast<std::size_t>(rule->short_bytes));
  errno = rule->error;
  return std::nullopt;
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const unsigned mode = (flags & O_CREAT) != 0 ? va_arg(more, unsigned) : 0;
  va_end(more);
  if (fails_on("open", path)) return -1;
  return static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}
int flock(int fd, int operation) {
  return fails("flock", fd) ? -1 : static_cast<int>(syscall(SYS_flock, fd, operation));
}
int ftruncate(int fd, off_t size) noexcept {
  return fails("ftruncate", fd) ? -1 : static_cast<int>(syscall(SYS_ftruncate, fd, size));
}
int fsync(int fd) { return fails("fsync", fd) ? -1 : static_cast<int>(syscall(SYS_fsync, fd)); }
int rename(const char* from, const char* to) noexcept {
  return fails_on("rename", from) ? -1
                                  : static_cast<int>(syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}
int unlink(const char* path) noexcept {
  return fails_on("unlink", path) ? -1 : static_cast<int>(syscall(SYS_unlinkat, AT_FDCWD, path, 0));
}
int fstat(int fd, struct stat* found) noexcept {
  return fails("fstat", fd) ? -1 : static_cast<int>(syscall(SYS_fstat, fd, found));
}
int stat(const char* path, struct stat* found) noexcept {
  return fails_on("stat", path) ? -1 : static_cast<int>(syscall(SYS_newfstatat, AT_FDCWD, path, found, 0));
}
off_t lseek(int fd, off_t offset, int whence) noexcept {
  return fails("lseek", fd) ? -1 : static_cast<off_t>(syscall(SYS_lseek, fd, offset, whence));
}
ssize_t read(int fd, void* to, std::size_t size) {
  const auto most = allowed("read", fd, size);
  return most ? syscall(SYS_read, fd, to, *most) : -1;
}
ssize_t write(int fd, const void* from, std::size_t size) {
  const auto most = allowed("write", fd, size);
  return most ? syscall(SYS_write, fd, from, *most) : -1;
}
ssize_t pwrite(int fd, const void* from, std::size_t size, off_t at) {
  const auto most = allowed("pwrite", fd, size);
  return most ? syscall(SYS_pwrite64, fd, from, *most, at) : -1;
}

int socket(int domain, int type, int protocol) noexcept {
  return fails("socket") ? -1 : static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}
int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  return fails("bind", fd) ? -1 : static_cast<int>(syscall(SYS_bind, fd, address, size));
}
int listen(int fd, int backlog) noexcept {
  return fails("listen", fd) ? -1 : static_cast<int>(syscall(SYS_listen, fd, backlog));
}
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  if (!fails("accept", fd)) return static_cast<int>(syscall(SYS_accept4, fd, address, size, flags));
  const int error = errno;
  if (error == ECONNABORTED) {
    const long gone = syscall(SYS_accept4, fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (gone >= 0) syscall(SYS_close, gone);
  }
  errno = error;
  return -1;
}
int accept(int fd, sockaddr* address, socklen_t* size) { return accept4(fd, address, size, 0); }
int connect(int fd, const sockaddr* address, socklen_t size) {
  return fails("connect", fd) ? -1 : static_cast<int>(syscall(SYS_connect, fd, address, size));
}
int shutdown(int fd, int how) noexcept {
  return fails("shutdown", fd) ? -1 : static_cast<int>(syscall(SYS_shutdown, fd, how));
}
int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  return fails("getsockopt", fd) ? -1
                                 : static_cast<int>(syscall(SYS_getsockopt, fd, level, name, value, size));
}
int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
  return fails("setsockopt", fd) ? -1
                                 : static_cast<int>(syscall(SYS_setsockopt, fd, level, name, value, size));
}
ssize_t recv(int fd, void* to, std::size_t size, int flags) {
  if ((flags & MSG_PEEK) != 0 && fails("peek", fd)) return -1;
  const auto most = allowed("recv", fd, size);
  return most ? syscall(SYS_recvfrom, fd, to, *most, flags, nullptr, nullptr) : -1;
}
ssize_t send(int fd, const void* from, std::size_t size, int flags) {
  const auto most = allowed("send", fd, size);
  return most ? syscall(SYS_sendto, fd, from, *most, flags, nullptr, 0) : -1;
}
ssize_t recvmsg(int fd, msghdr* message, int flags) {
  if (message->msg_iovlen == 1) {
    return recv(fd, message->msg_iov->iov_base, message->msg_iov->iov_len, flags);
  }
  return fails("recv", fd) ? -1 : syscall(SYS_recvmsg, fd, message, flags);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  if (message->msg_iovlen == 1 && message->msg_controllen == 0) {
    return send(fd, message->msg_iov->iov_base, message->msg_iov->iov_len, flags);
  }
  return fails("send", fd) ? -1 : syscall(SYS_sendmsg, fd, message, flags);
}

int epoll_create1(int flags) noexcept {
  return fails("epoll_create1") ? -1 : static_cast<int>(syscall(SYS_epoll_create1, flags));
}
int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  return fails("epoll_ctl", fd) ? -1 : static_cast<int>(syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}
int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  if (fails("epoll_wait")) return -1;
  return static_cast<int>(
      syscall(SYS_epoll_pwait, epoll, events, most, timeout, nullptr, kKernelSignalSetSize));
}
int timerfd_create(int clock, int flags) noexcept {
  return fails("timerfd_create") ? -1 : static_cast<int>(syscall(SYS_timerfd_create, clock, flags));
}
int eventfd(unsigned initial, int flags) noexcept {
  return fails("eventfd") ? -1 : static_cast<int>(syscall(SYS_eventfd2, initial, flags));
}
int signalfd(int fd, const sigset_t* set, int flags) noexcept {
  return fails("signalfd") ? -1
                           : static_cast<int>(syscall(SYS_signalfd4, fd, set, kKernelSignalSetSize, flags));
}

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const int result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (result == 0 && clock == CLOCK_REALTIME) now->tv_sec += faults().clock_shift_s();
  return result;
}

}  // extern "C"
