// The flight record, as the operators set it up; without a section of its own there is none.
#pragma once

#include <cstdint>
#include <string>

namespace fennellane {

struct RecordSettings {
  std::uint64_t file_bytes = 4 << 20;  // of the file, header included
  std::string folder;                  // empty: the state folder, and then the file counts for its disk
  bool operator==(const RecordSettings&) const = default;
};

}  // namespace fennellane
