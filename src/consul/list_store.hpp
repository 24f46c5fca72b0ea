// The catalogue as it was last known, in one small file that outlasts the process: JSON lines, compressed
// with zstd, whose checksum tells a damaged file. Written beside and renamed, so that a crash leaves a whole
// one.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "answer_reader.hpp"
#include "membership.hpp"

namespace fennellane {

class ListStore {
 public:
  // Two files of `most_bytes` may stand side by side; 0 = nothing is kept.
  ListStore(const std::string& folder, std::uint64_t most_bytes);

  // Returns what is wrong, or nothing. A list that does not fit is not written, and the file before stays.
  std::string save(const Membership& membership, const ConsulSettings& settings, const NamePositions& names);
  // Hands on what the file holds of the services that the settings name. Returns what is wrong, or nothing; a
  // file that cannot be read is as none.
  using OnInstance = std::function<void(std::uint32_t service, const Instance&)>;
  std::string load(const ConsulSettings& settings, const NamePositions& names, const OnInstance& take) const;

 private:
  std::string path(const char* name) const { return folder_ + "/" + name; }
  const std::string folder_;
  const std::uint64_t max_bytes_;
};

}  // namespace fennellane
