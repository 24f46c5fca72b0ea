// What the relay has taken on and not yet ended, in a file that outlasts the process.
//
// Records are only appended, each with its length and checksum. A torn tail, as a crash leaves it, is cut.
// When the file is full, what is still held is written to a second file that then takes the first one's name,
// so a crash at any moment leaves one whole journal.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "descriptor.hpp"
#include "stream.hpp"

namespace fennellane {

class JournalError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Journal {
 public:
  // Opens the journal in the folder, reads what it holds and cuts a torn tail. Throws JournalError.
  Journal(std::string folder, std::uint64_t most_bytes);

  const std::map<StreamId, JournalEntry>& held() const { return held_; }
  StreamId next_stream() const { return next_; }
  // Whether a message can be taken on so that its later records, and a compaction, fit as well.
  bool has_room(std::size_t id_size, std::size_t body_size) const;

  void taken(StreamId stream, JournalEntry entry);
  void attempt_started(StreamId stream, WallTime now, std::uint32_t zone);
  void attempt_ended(StreamId stream, bool may_have_run);
  void given_up(StreamId stream, Verdict verdict, Time again);
  void ended(StreamId stream);

  std::uint64_t size() const { return size_; }
  std::uint64_t records() const { return records_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t cut_bytes() const { return cut_bytes_; }  // of a torn tail, at the start

 private:
  void append(const std::string& payload);
  bool apply(std::string_view payload);
  void replay(std::string_view text);
  void compact();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  std::string folder_;
  std::uint64_t most_bytes_;
  FileDescriptor file_;
  std::uint64_t size_ = 0;
  std::uint64_t live_ = 0;  // bytes that a compaction would write
  std::map<StreamId, JournalEntry> held_;
  StreamId next_ = 1;
  std::uint64_t records_ = 0;
  std::uint64_t compactions_ = 0;
  std::uint64_t cut_bytes_ = 0;
};

}  // namespace fennellane
