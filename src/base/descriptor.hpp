// An open file that is closed with its owner.
#pragma once

#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <utility>
#include <vector>

namespace fennellane {

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  // To one who closes it himself.
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

// Descriptors that go to another process, and those that came from one. The bytes that go along name each by
// its position.
class OutgoingDescriptors {
 public:
  std::uint32_t add(int fd) {
    descriptors_.push_back(fd);
    return static_cast<std::uint32_t>(descriptors_.size() - 1);
  }
  const std::vector<int>& all() const { return descriptors_; }  // their owners' still

 private:
  std::vector<int> descriptors_;
};
class IncomingDescriptors {
 public:
  void add(FileDescriptor fd) { descriptors_.push_back(std::move(fd)); }
  std::size_t size() const { return descriptors_.size(); }
  // Each once; throws std::out_of_range for one that is not there.
  FileDescriptor extract(std::uint32_t position) {
    FileDescriptor taken = std::move(descriptors_.at(position));
    if (taken.get() < 0) throw std::out_of_range("a descriptor that was not handed over");
    return taken;
  }

 private:
  std::vector<FileDescriptor> descriptors_;
};

}  // namespace fennellane
