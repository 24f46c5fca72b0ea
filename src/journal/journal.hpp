// Journal of the messages that the relay has accepted and not yet ended, in a file that outlives the process.
//
// It has one owner at any time. An opener holds a lock on the folder, which excludes other processes. During
// a handover, when both processes share the lock, a fence record names the owner's generation, and an owner
// that finds a later one cannot write.
//
// Records are only appended, each with its length and checksum. A torn tail left by a crash is truncated.
// When the file is full, the messages still held are written to a second file, which is renamed over the
// first, so a crash at any time leaves one complete journal.
//
// Storage may fail for a while. During that time, events that must be recorded before they happen are
// refused, and events that happen anyway are kept in memory. `repair` writes all held messages to a new file.
// docs/storage.md describes the states and the cost of each failure.
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
  explicit JournalError(const std::string& message, int error = 0)
      : std::runtime_error(message), error_(error) {}
  // The errno of the failed system call, EWOULDBLOCK if another process holds the lock; 0 if no system call
  // failed.
  int error() const { return error_; }

 private:
  int error_;
};

// The storage operation that failed.
struct StorageFailure {
  std::string operation;
  int error = 0;  // errno
  std::string text() const;
};

using Generation = std::uint64_t;  // of the journal's owner; the first is 1

// Locks the folder. The lock is held while the descriptor, or a duplicate of it in another process, is open.
// Waits up to `timeout`; throws JournalError if another process still holds the lock then, or the folder
// cannot be used.
FileDescriptor lock_journal(const std::string& folder, Time timeout);
// Whether a process holds the lock.
bool journal_is_locked(const std::string& folder);

class Journal {
 public:
  Journal() = default;  // an empty journal that is not owned
  // Opens the journal in the folder and reads it up to the first invalid record. Throws JournalError if it
  // cannot be opened or read, or is not a journal; if only writing fails, the failure is reported as any
  // later one. An observer writes nothing, not even a truncation, until `claim`.
  enum class Access { owner, observer };
  Journal(std::string folder, std::uint64_t max_bytes, Access access = Access::owner);

  // Points in time are on the steady clock of this boot.
  const std::map<StreamId, JournalEntry>& held() const { return held_; }
  StreamId next_stream() const { return next_stream_; }
  // Whether a message can be accepted so that its later records and a compaction fit as well.
  bool has_room(std::size_t id_size, std::size_t body_size) const;

  // Writes the last record of this owner: afterwards only the owner of generation `to` can append. Throws
  // JournalError if it cannot be written; this owner then still owns the journal.
  void fence(Generation to);
  // For an observer: reads what the owner has written since. Throws JournalError.
  void catch_up();
  // Makes an observer, or an owner that has fenced itself off, the owner: the newest fence must name this
  // generation or the one before, whose owner is known to be dead and is fenced off first. Throws
  // JournalError otherwise, and if the file holds unread records other than that fence.
  void claim(Generation generation);
  Generation generation() const { return generation_; }  // named by the newest fence
  bool owned() const { return owned_; }

  // Records that must be in the file before the event they describe happens. Returns false without any change
  // while storage fails. These and all others throw JournalError only if another process owns the journal.
  bool message_accepted(StreamId stream, JournalEntry entry);
  bool attempt_started(StreamId stream, Time now, std::uint32_t zone);
  // Records of events that happen whether or not they can be recorded: applied in memory at once, and written
  // to the file when possible.
  void attempt_started_best_effort(StreamId stream, Time now, std::uint32_t zone);
  void attempt_ended(StreamId stream, bool may_have_run);
  void message_given_up(StreamId stream, Verdict verdict, Time retry_after);
  void message_ended(StreamId stream);

  // The failure of the last write, until a write or `repair` succeeds.
  const std::optional<StorageFailure>& failure() const { return failure_; }
  // Writes all held messages to a new file; true if storage works again.
  bool repair();

  std::uint64_t size() const { return size_; }
  std::uint64_t records() const { return records_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t truncated_bytes() const { return truncated_bytes_; }  // of a torn tail, at the last read

 private:
  bool write_then_apply(const std::string& payload);
  void apply_best_effort(const std::string& payload);
  bool append(const std::string& record);
  bool is_unchanged();
  bool confirm_ownership();
  bool fail(const char* operation, int error);
  void apply_written(const std::string& payload);
  bool apply(std::string_view payload);
  // Applies records that follow the known ones.
  void replay(std::string_view records);
  void convert_to_current_clock();
  void truncate_torn_tail();
  bool file_replaced() const;  // the journal in the folder is a different file
  std::string compacted_text() const;
  bool compact();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  std::string folder_;
  std::uint64_t max_bytes_ = 0;
  Generation generation_ = 1;
  bool owned_ = false;
  FileDescriptor file_;
  std::uint64_t size_ = 0;
  std::uint64_t live_bytes_ = 0;  // bytes of entries that a compaction would write
  std::map<StreamId, JournalEntry> held_;
  StreamId next_stream_ = 1;
  // of the file; none: a file of a version with wall clock times
  std::optional<journal::ClockReading> clock_;
  std::optional<StorageFailure> failure_;
  bool needs_rewrite_ = false;  // the file lacks records that memory has, or has an invalid tail
  std::uint64_t records_ = 0;
  std::uint64_t compactions_ = 0;
  std::uint64_t truncated_bytes_ = 0;
};

}  // namespace fennellane
