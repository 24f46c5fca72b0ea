// Handover messages as bytes: a magic, the message's type, its length and XXH3 checksum, then its body. The
// bodies of all but State are JSON, so that a later version may add to them; State's is its bytes.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "byte_units.hpp"
#include "handover.hpp"

namespace fennellane::handover {

class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string encode(const Message& message);
std::uint64_t checksum(std::string_view bytes);

class FrameReader {
 public:
  explicit FrameReader(std::size_t most_body = 4 * kMiB) : max_body_bytes_(most_body) {}
  void feed(std::string_view bytes) { bytes_ += bytes; }
  // The next whole message, if there is one. Throws FrameError for what is none; the connection is of no use
  // then.
  std::optional<Message> next();

 private:
  const std::size_t max_body_bytes_;
  std::string bytes_;
};

}  // namespace fennellane::handover
