// Owning wrappers for file descriptors.
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
  // The caller becomes responsible for closing it.
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

// Descriptors sent to and received from another process. The accompanying bytes refer to each by its index.
class OutgoingDescriptors {
 public:
  std::uint32_t add(int fd) {
    descriptors_.push_back(fd);
    return static_cast<std::uint32_t>(descriptors_.size() - 1);
  }
  const std::vector<int>& all() const { return descriptors_; }  // still owned by their owners

 private:
  std::vector<int> descriptors_;
};
class IncomingDescriptors {
 public:
  void add(FileDescriptor fd) { descriptors_.push_back(std::move(fd)); }
  std::size_t size() const { return descriptors_.size(); }
  // Each index can be extracted once; throws std::out_of_range otherwise.
  FileDescriptor extract(std::uint32_t index) {
    FileDescriptor descriptor = std::move(descriptors_.at(index));
    if (descriptor.get() < 0) throw std::out_of_range("descriptor was already extracted");
    return descriptor;
  }

 private:
  std::vector<FileDescriptor> descriptors_;
};

}  // namespace fennellane
