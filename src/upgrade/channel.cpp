#include "channel.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "byte_units.hpp"

namespace fennellane::upgrade {
namespace {

constexpr std::size_t kMaxDescriptorsPerMessage = 250;  // the kernel's limit is 253
constexpr std::size_t kReceiveBufferBytes = 64 * kKiB;

[[noreturn]] void throw_errno(const char* context) {
  throw ChannelError(std::string(context) + ": " + std::strerror(errno));
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
    QueuedMessage& queued = queue_.front();
    iovec bytes{queued.bytes.data() + queued.written_bytes, queued.bytes.size() - queued.written_bytes};
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    if (queued.written_bytes == 0 && !queued.descriptors.empty()) {
      const std::size_t size = sizeof(int) * queued.descriptors.size();
      message.msg_control = control;
      message.msg_controllen = CMSG_SPACE(size);
      cmsghdr* const header = CMSG_FIRSTHDR(&message);
      header->cmsg_level = SOL_SOCKET;
      header->cmsg_type = SCM_RIGHTS;
      header->cmsg_len = CMSG_LEN(size);
      std::memcpy(CMSG_DATA(header), queued.descriptors.data(), size);
    }
    const ssize_t n = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    // ETOOMANYREFS: more descriptors are in flight than the kernel allows one user.
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS)) return;
    if (n < 0 && (errno == EPIPE || errno == ECONNRESET)) return queue_.clear();
    if (n < 0) throw_errno("a handover message cannot be sent");
    queued.written_bytes += static_cast<std::size_t>(n);
    if (queued.written_bytes == queued.bytes.size()) queue_.pop_front();
  }
}

bool Channel::receive() {
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptorsPerMessage)];
  std::string buffer(kReceiveBufferBytes, '\0');
  while (true) {
    iovec bytes{buffer.data(), buffer.size()};
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
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
         header = CMSG_NXTHDR(&message, header)) {
      if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
      const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
      for (std::size_t i = 0; i < count; ++i) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(header) + i * sizeof(int), sizeof fd);
        descriptors_.add(FileDescriptor(fd));
      }
    }
    if ((message.msg_flags & MSG_CTRUNC) != 0) {
      descriptors_ = IncomingDescriptors();  // reporting the error may need a descriptor
      throw ChannelError("there are not enough descriptors");
    }
    if (n == 0) return false;
    reader_.feed(std::string_view(buffer).substr(0, static_cast<std::size_t>(n)));
  }
}

}  // namespace fennellane::upgrade
