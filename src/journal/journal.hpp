// What the relay has taken on and not yet ended, in a file that outlasts the process.
//
// It has one owner at any moment. Whoever opens it holds a lock on the folder, which a process that is
// started beside it does not get. Within a handover, where both processes share the lock, a fence record
// names the owner's generation, and an owner that finds a later one can't write.
//
// Records are only appended, each with its length and checksum. A torn tail, as a crash leaves it, is cut.
// When the file is full, what is still held is written to a second file that then takes the first one's name,
// so a crash at any moment leaves one whole journal.
//
// Storage may fail for a while. Then nothing is recorded that has to stand in the file first, and what has
// happened all the same is kept in memory. `repair` writes all that is held to a new file. docs/storage.md
// has the states and what each failure costs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "descriptor.hpp"
#include "journal_clock.hpp"
#include "stream.hpp"

namespace fennellane {

class JournalError : public std::runtime_error {
 public:
  explicit JournalError(const std::string& what, int error = 0) : std::runtime_error(what), error_(error) {}
  // The errno of the system call that failed, EWOULDBLOCK where another process holds the lock; 0: none did.
  int error() const { return error_; }

 private:
  int error_;
};

// What storage has failed at.
struct StorageFailure {
  std::string operation;
  int error = 0;  // errno
  std::string text() const;
};

using Generation = std::uint64_t;  // of the journal's owner; the first is 1

// The lock on the folder: held while the descriptor, or a copy of it in another process, is open. Waits for
// it for so long; throws JournalError if another process has it then, or the folder cannot be used.
FileDescriptor lock_journal(const std::string& folder, Time wait);
// Whether some process holds it.
bool journal_is_locked(const std::string& folder);

class Journal {
 public:
  Journal() = default;  // none: owned by nobody, holds nothing
  // Opens the journal in the folder and reads it as far as it is sound. Throws JournalError where it cannot
  // be opened or read, or is no journal; where it can only not be written, it fails as it does later. An
  // observer writes nothing, not even a cut, until `claim`.
  enum class Access { owner, observer };
  Journal(std::string folder, std::uint64_t most_bytes, Access access = Access::owner);

  // Moments are on the steady clock of this boot.
  const std::map<StreamId, JournalEntry>& held() const { return held_; }
  StreamId next_stream() const { return next_stream_; }
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

  // Records that must stand in the file before what they tell of happens. False, and nothing has changed,
  // while storage fails. These and all others throw JournalError only where the journal is another process's.
  bool message_accepted(StreamId stream, JournalEntry entry);
  bool attempt_started(StreamId stream, Time now, std::uint32_t zone);
  // Of what happens whether or not it is recorded: in memory at once, in the file when it can be written.
  void attempt_started_best_effort(StreamId stream, Time now, std::uint32_t zone);
  void attempt_ended(StreamId stream, bool may_have_run);
  void message_given_up(StreamId stream, Verdict verdict, Time again);
  void message_ended(StreamId stream);

  // What the newest write failed at, until one succeeds or `repair` does.
  const std::optional<StorageFailure>& failure() const { return failure_; }
  // Writes all that is held to a new file; true if nothing fails any more.
  bool repair();

  std::uint64_t size() const { return size_; }
  std::uint64_t records() const { return records_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t truncated_bytes() const { return truncated_bytes_; }  // of a torn tail, when it was last read

 private:
  bool write_then_apply(const std::string& payload);
  void apply_best_effort(const std::string& payload);
  bool append(const std::string& record);
  bool is_unchanged();
  bool confirm_ownership();
  bool fail(const char* operation, int error);
  void apply_written(const std::string& payload);
  bool apply(std::string_view payload);
  // Records that follow what is known.
  void replay(std::string_view records);
  void convert_to_current_clock();
  void truncate_torn_tail();
  bool file_replaced() const;  // the journal in the folder is another file
  std::string compacted_text() const;
  bool compact();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  std::string folder_;
  std::uint64_t max_bytes_ = 0;
  Generation generation_ = 1;
  bool owned_ = false;
  FileDescriptor file_;
  std::uint64_t size_ = 0;
  std::uint64_t live_bytes_ = 0;  // bytes that a compaction would write
  std::map<StreamId, JournalEntry> held_;
  StreamId next_stream_ = 1;
  std::optional<journal::ClockReading>
      clock_;  // of the file; none: of a version whose moments are on the wall clock
  std::optional<StorageFailure> failure_;
  bool needs_rewrite_ = false;  // the file tells less than memory, or has an unsound tail
  std::uint64_t records_ = 0;
  std::uint64_t compactions_ = 0;
  std::uint64_t truncated_bytes_ = 0;
};

}  // namespace fennellane
