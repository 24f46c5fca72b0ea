// The catalogue as last known, saved in one small file for the next process: JSON lines, compressed with
// zstd, whose checksum detects a damaged file. The file is replaced by renaming, so that a crash leaves a
// complete one.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "answer_reader.hpp"
#include "membership.hpp"

namespace fennellane {

class ListStore {
 public:
  // Uses up to twice `max_bytes` on disk while replacing the file; 0 = nothing is saved.
  ListStore(const std::string& folder, std::uint64_t max_bytes);

  // Returns an error, or an empty text. A list that exceeds the limit is not written; the old file stays.
  std::string save(const Membership& membership, const ConsulSettings& settings, const NamePositions& names);
  // Passes on the saved hosts of the services in the settings. Returns an error, or an empty text; an
  // unreadable file counts as missing.
  using OnInstance = std::function<void(std::uint32_t service, const Instance&)>;
  std::string load(const ConsulSettings& settings, const NamePositions& names,
                   const OnInstance& on_instance) const;

 private:
  std::string path(const char* name) const { return folder_ + "/" + name; }
  const std::string folder_;
  const std::uint64_t max_bytes_;
};

}  // namespace fennellane
