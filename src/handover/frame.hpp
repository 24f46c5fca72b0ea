// Framing of handover messages: a magic number, the message type, the body's length and XXH3 checksum, then
// the body. Bodies are JSON, so that a later version can add members; only State has a binary body.
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
  explicit FrameReader(std::size_t max_body_bytes = 4 * kMiB) : max_body_bytes_(max_body_bytes) {}
  void feed(std::string_view bytes) { bytes_ += bytes; }
  // The next complete message, if any. Throws FrameError for an invalid frame; the connection is unusable
  // then.
  std::optional<Message> next();

 private:
  const std::size_t max_body_bytes_;
  std::string bytes_;
};

}  // namespace fennellane::handover
