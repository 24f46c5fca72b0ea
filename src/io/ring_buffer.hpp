// Ring buffer of a fixed capacity, one for each direction of a connection. Its memory is allocated on first
// use.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace fennellane {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t capacity) : capacity_(capacity) {}

  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  std::size_t room() const { return capacity_ - size_; }
  bool empty() const { return size_ == 0; }

  // The longest contiguous free range. Bytes written there become part of the content through `commit`.
  std::span<char> space() {
    if (!bytes_ && capacity_ > 0) bytes_ = std::make_unique_for_overwrite<char[]>(capacity_);
    if (size_ == 0) start_ = 0;
    const std::size_t end = start_ + size_;
    if (end < capacity_) return {bytes_.get() + end, capacity_ - end};
    return {bytes_.get() + (end - capacity_), room()};
  }
  void commit(std::size_t count) { size_ += std::min(count, room()); }

  // The longest contiguous range of the content, starting with its first byte.
  std::string_view data() const { return {bytes_.get() + start_, std::min(size_, capacity_ - start_)}; }
  void consume(std::size_t count) {
    count = std::min(count, size_);
    size_ -= count;
    start_ = size_ == 0 ? 0 : (start_ + count) % capacity_;
  }
  void clear() { consume(size_); }

  // The whole content.
  std::string text() const {
    const std::string_view first = data();
    return std::string(first).append(bytes_.get(), size_ - first.size());
  }

  // Appends the whole text, or nothing if it does not fit.
  bool append(std::string_view text) {
    if (text.size() > room()) return false;
    while (!text.empty()) {
      const std::span<char> free = space();
      const std::size_t part = std::min(free.size(), text.size());
      std::memcpy(free.data(), text.data(), part);
      commit(part);
      text.remove_prefix(part);
    }
    return true;
  }

 private:
  std::size_t capacity_;
  std::size_t start_ = 0;
  std::size_t size_ = 0;
  std::unique_ptr<char[]> bytes_;
};

}  // namespace fennellane
