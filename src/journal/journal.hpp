// What the relay has taken on and not yet ended, in a file that outlasts the process.
//
// It has one owner at any moment. Whoever opens it holds a lock on the folder, which a process that is
// started beside it does not get. Within a handover, where both processes share the lock, a fence record
// names the owner's generation, and an owner that finds the file other than it left it can't append.
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

using Generation = std::uint64_t;  // of the journal's owner; the first is 1

// The lock on the folder: held while the descriptor, or a copy of it in another process, is open. Waits for
// it for so long; throws JournalError if another process has it then.
FileDescriptor lock_journal(const std::string& folder, Time wait);
// Whether some process holds it.
bool journal_is_locked(const std::string& folder);

class Journal {
 public:
  // Opens the journal in the folder, reads what it holds and cuts a torn tail. Throws JournalError.
  // An observer writes nothing, not even a cut, until `claim`.
  enum class Access { owns, observes };
  Journal(std::string folder, std::uint64_t most_bytes, Access access = Access::owns);

  const std::map<StreamId, JournalEntry>& held() const { return held_; }
  StreamId next_stream() const { return next_; }
  // Whether a message can be taken on so that its later records, and a compaction, fit as well.
  bool has_room(std::size_t id_size, std::size_t body_size) const;

  // The last record of this owner: from it on only the owner of that generation can append. Throws
  // JournalError if it cannot be written; this one owns the journal still.
  void fence(Generation to);
  // Of an observer: reads what the owner has written since. Throws JournalError.
  void catch_up();
  // An observer, or an owner that has fenced itself off, becomes the owner: the newest fence names this
  // generation, or the one before, whose owner is known to be dead and is fenced off first. Throws
  // JournalError otherwise, and if the file holds anything but that fence that this one has not seen.
  void claim(Generation generation);
  Generation generation() const { return generation_; }  // that the newest fence names
  bool owned() const { return owned_; }

  void taken(StreamId stream, JournalEntry entry);
  void attempt_started(StreamId stream, WallTime now, std::uint32_t zone);
  void attempt_ended(StreamId stream, bool may_have_run);
  void given_up(StreamId stream, Verdict verdict, Time again);
  void ended(StreamId stream);

  std::uint64_t size() const { return size_; }
  std::uint64_t records() const { return records_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t cut_bytes() const { return cut_bytes_; }  // of a torn tail, when it was last read

 private:
  void append(const std::string& payload);
  void check_owned() const;
  bool apply(std::string_view payload);
  // Records that follow what is known.
  void replay(std::string_view records);
  bool moved() const;  // the journal in the folder is another file
  void compact();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  std::string folder_;
  std::uint64_t most_bytes_;
  Generation generation_ = 1;
  bool owned_ = false;
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
