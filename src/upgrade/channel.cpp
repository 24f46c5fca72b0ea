#include "channel.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "byte_units.hpp"

namespace fennellane::upgrade {
namespace {

constexpr std::size_t kMaxDescriptorsPerMessage = 250;  // of one message; the kernel takes 253
constexpr std::size_t kReceiveBufferBytes = 64 * kKiB;

[[noreturn]] void throw_errno(const char* what) {
  throw ChannelError(std::string(what) + ": " + std::strerror(errno));
}

}  // namespace

Channel::Channel(FileDescriptor socket) : socket_(std::move(socket)) {
  const int flags = ::fcntl(socket_.get(), F_GETFL);
  if (flags < 0 || ::fcntl(socket_.get(), F_SETFL, flags | O_NONBLOCK) != 0 ||
      ::fcntl(socket_.get(), F_SETFD, FD_CLOEXEC) != 0) {
    throw_errno("the handover's connection");
  }
}

void Channel::send(const handover::Message& message, std::vector<int> descriptors) {
  if (descriptors.size() > kMaxDescriptorsPerMessage)
    throw ChannelError("too many descriptors in one message");
  queue_.push_back({handover::encode(message), std::move(descriptors), 0});
}

void Channel::flush() {
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptorsPerMessage)];
  while (!queue_.empty()) {
    QueuedMessage& part = queue_.front();
    iovec bytes{part.bytes.data() + part.written_bytes, part.bytes.size() - part.written_bytes};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    if (part.written_bytes == 0 && !part.descriptors.empty()) {
      const std::size_t size = sizeof(int) * part.descriptors.size();
      message.msg_control = control;
      message.msg_controllen = CMSG_SPACE(size);
      cmsghdr* const head = CMSG_FIRSTHDR(&message);
      head->cmsg_level = SOL_SOCKET;
      head->cmsg_type = SCM_RIGHTS;
      head->cmsg_len = CMSG_LEN(size);
      std::memcpy(CMSG_DATA(head), part.descriptors.data(), size);
    }
    const ssize_t n = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    // The last: more descriptors are on their way than the kernel lets one user have.
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS)) return;
    if (n < 0 && (errno == EPIPE || errno == ECONNRESET)) return queue_.clear();
    if (n < 0) throw_errno("a handover message cannot be sent");
    part.written_bytes += static_cast<std::size_t>(n);
    if (part.written_bytes == part.bytes.size()) queue_.pop_front();
  }
}

bool Channel::receive() {
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptorsPerMessage)];
  std::string piece(kReceiveBufferBytes, '\0');
  while (true) {
    iovec bytes{piece.data(), piece.size()};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const ssize_t n = ::recvmsg(socket_.get(), &message, MSG_CMSG_CLOEXEC);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (n < 0 && errno == ECONNRESET) return false;
    if (n < 0) throw_errno("a handover message cannot be received");
    for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
      if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
      const std::size_t count = (head->cmsg_len - CMSG_LEN(0)) / sizeof(int);
      for (std::size_t i = 0; i < count; ++i) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(head) + i * sizeof(int), sizeof fd);
        descriptors_.add(FileDescriptor(fd));
      }
    }
    if ((message.msg_flags & MSG_CTRUNC) != 0) {
      descriptors_ = IncomingDescriptors();  // what is said of it may need one
      throw ChannelError("there are not enough descriptors");
    }
    if (n == 0) return false;
    reader_.feed(std::string_view(piece).substr(0, static_cast<std::size_t>(n)));
  }
}

}  // namespace fennellane::upgrade
