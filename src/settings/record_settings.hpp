// The settings of the flight record; without a section `record` there is none.
#pragma once

#include <cstdint>
#include <string>

namespace fennellane {

struct RecordSettings {
  std::uint64_t file_bytes = 4 << 20;  // including the header
  std::string folder;                  // empty: the state folder; the file then counts towards its disk limit
  bool operator==(const RecordSettings&) const = default;
};

}  // namespace fennellane
