#include "signals.hpp"

#include <signal.h>
#include <sys/signalfd.h>

#include <cerrno>
#include <system_error>

#include "descriptor.hpp"

namespace fennellane {
namespace {

FileDescriptor open_signalfd(std::initializer_list<int> numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : numbers) sigaddset(&set, number);
  FileDescriptor fd(
      pthread_sigmask(SIG_BLOCK, &set, nullptr) == 0 ? ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC) : -1);
  if (fd.get() < 0) throw std::system_error(errno, std::generic_category(), "signals");
  return fd;
}

}  // namespace

Signals::Signals(asio::io_context& io, std::initializer_list<int> numbers) : descriptor_(io) {
  FileDescriptor fd = open_signalfd(numbers);
  descriptor_.assign(fd.get());
  fd.release();
}

void Signals::start(std::function<void(int)> on_signal) {
  on_signal_ = std::move(on_signal);
  await_signal();
}

std::optional<int> Signals::read_pending() {
  signalfd_siginfo info;
  if (::read(descriptor_.native_handle(), &info, sizeof info) != sizeof info) return std::nullopt;
  return static_cast<int>(info.ssi_signo);
}

void Signals::await_signal() {
  descriptor_.async_wait(asio::posix::stream_descriptor::wait_read, [this](asio::error_code error) {
    if (error) return;
    while (const std::optional<int> number = read_pending()) on_signal_(*number);
    await_signal();
  });
}

}  // namespace fennellane
