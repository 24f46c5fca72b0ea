// The flight record's file: a header, a legend that names classes and tenants, and a ring of entries, mapped
// into the memory of the process that writes it. What has been noted is in the file at once, and outlasts
// SIGKILL; it is lost only with the machine. A reader looks at it while it is written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "entry.hpp"

namespace fennellane::record {

class RecordError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kHeaderSize = 64;
constexpr std::size_t kLegendSize = 8192 - kHeaderSize;

// In bytes; with as many entries as fit into `most` bytes, rounded down to whole blocks of the disk. 0: none
// fits.
std::size_t record_file_size(std::uint64_t most);

struct Header;

// The file mapped for writing. One process writes at a time; of two that map it, as in a handover, the second
// goes on behind what the first has written.
class RecordFile {
 public:
  // Takes up a file of this size as it stands, or makes a new one. All its blocks are taken at once. Throws
  // RecordError where the disk does not give them. Guards against a fault in the middle of service, on a disk
  // that is full by then.
  RecordFile(const std::string& path, std::size_t size);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  // Cut where it is longer than its place.
  void set_legend(std::string_view text);
  // The entry's sequence is given here. A reader never sees half of it.
  void append(Entry entry);

 private:
  Header& header() const;
  Entry* entries() const;

  void* memory_ = nullptr;
  std::size_t size_ = 0;
  std::uint64_t capacity_ = 0;
};

// What a file holds now, the oldest first. Entries that were overwritten or half written meanwhile are left
// out.
struct Contents {
  std::string legend;
  std::uint64_t overwritten = 0;  // that the ring held before
  std::vector<Entry> entries;
};
Contents read_record(const std::string& path);  // throws RecordError

}  // namespace fennellane::record
