// Growth of buffers that many connections hold at once.
#pragma once

#include <algorithm>
#include <cstddef>

namespace fennellane {

// Makes room for `more` elements in a string or vector that never holds more than `max_size`. Grows by a
// quarter instead of doubling: an unfinished request must not hold twice its size.
template <class Buffer>
void reserve_bounded(Buffer& buffer, std::size_t more, std::size_t max_size) {
  const std::size_t needed = buffer.size() + more;
  if (needed <= buffer.capacity()) return;
  buffer.reserve(std::max(needed, std::min(buffer.size() + buffer.size() / 4, max_size)));
}

}  // namespace fennellane
