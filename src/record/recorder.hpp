// Notes what the relay does, for those who ask later why a message ended as it did. Off unless a file is
// opened: then each note costs one comparison.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "admission_outcome.hpp"
#include "record_file.hpp"
#include "reducer.hpp"

namespace fennellane::record {

class Recorder {
 public:
  // Throws RecordError; it stays off then.
  void open(const std::string& path, std::size_t size, std::string_view legend);
  bool on() const { return file_ != nullptr; }

  using Numbers = std::array<std::uint32_t, 3>;
  void note(Kind kind, std::uint64_t subject, std::uint16_t code, Numbers n = {},
            std::string_view name = {}) {
    if (file_) write(kind, subject, code, n, name);
  }
  // What of an input or effect is worth a note; nothing for all others.
  void note(const Input& input);
  void note(const Effect& effect);

 private:
  void write(Kind kind, std::uint64_t subject, std::uint16_t code, Numbers n, std::string_view name);

  std::unique_ptr<RecordFile> file_;
};

// Spans in a note's 32 bits, rounded down and cut at the most.
std::uint32_t ms32(Time span);
std::uint32_t us32(Time span);

}  // namespace fennellane::record
