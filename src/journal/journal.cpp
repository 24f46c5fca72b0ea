#include "journal.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <thread>
#include <utility>

#include "record_codec.hpp"
#include "write_all.hpp"

namespace fennellane {

using namespace journal;

namespace {

// Version 1 has no fences, and versions 1 and 2 store wall clock times. Both are read and rewritten in the
// current version.
constexpr std::string_view kMagic = "fennellane journal 3\n";
constexpr std::string_view kOlderMagic[] = {"fennellane journal 1\n", "fennellane journal 2\n"};
constexpr const char* kFileName = "journal";
constexpr const char* kNewFileName = "journal.new";
constexpr std::uint64_t kReservedRecordBytes = 128;  // space reserved for further records of a held message
constexpr std::uint64_t kMaxHeaderBytes = 160;       // the magic, a clock and a fence fit in it

std::string failure_text(const std::string& operation, int error) {
  return "cannot " + operation + ": " + std::strerror(error);
}
[[noreturn]] void throw_failure(const std::string& operation, int error = errno) {
  throw JournalError(failure_text(operation, error), error);
}

std::string read_all(int fd, const std::string& name) {
  std::string text;
  char buffer[16384];
  while (true) {
    const ssize_t n = ::read(fd, buffer, sizeof buffer);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw_failure("read " + name);
    if (n == 0) return text;
    text.append(buffer, static_cast<std::size_t>(n));
  }
}

FileDescriptor open_folder(const std::string& folder) {
  return FileDescriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}
bool try_lock(const FileDescriptor& folder) { return ::flock(folder.get(), LOCK_EX | LOCK_NB) == 0; }

bool is_known_magic(std::string_view start) {
  return start == kMagic || start == kOlderMagic[0] || start == kOlderMagic[1];
}
// A truncated magic: the creation of the file was interrupted by a crash.
bool is_torn_magic(std::string_view start) {
  return start.size() < kMagic.size() && (kMagic.starts_with(start) || kOlderMagic[0].starts_with(start) ||
                                          kOlderMagic[1].starts_with(start));
}

}  // namespace

std::string StorageFailure::text() const { return failure_text(operation, error); }

bool journal_is_locked(const std::string& folder) {
  const FileDescriptor lock = open_folder(folder);
  return lock.get() >= 0 && !try_lock(lock) && errno == EWOULDBLOCK;
}

FileDescriptor lock_journal(const std::string& folder, Time timeout) {
  FileDescriptor lock = open_folder(folder);
  if (lock.get() < 0) throw_failure("open " + folder);
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!try_lock(lock)) {
    if (errno != EWOULDBLOCK && errno != EINTR) throw_failure("lock " + folder);
    if (std::chrono::steady_clock::now() >= end)
      throw JournalError(folder + " is another process's", EWOULDBLOCK);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return lock;
}

Journal::Journal(std::string folder, std::uint64_t max_bytes, Access access)
    : folder_(std::move(folder)), max_bytes_(max_bytes), owned_(access == Access::owner) {
  if (owned_) ::unlink(path(kNewFileName).c_str());  // left by a compaction that a crash interrupted
  const int create = owned_ ? O_CREAT : 0;
  file_ = FileDescriptor(::open(path(kFileName).c_str(), O_RDWR | create | O_APPEND | O_CLOEXEC, 0644));
  if (file_.get() < 0) throw_failure("open " + path(kFileName));
  const std::string text = read_all(file_.get(), path(kFileName));
  const std::string_view start = std::string_view(text).substr(0, kMagic.size());
  if (is_torn_magic(start)) {
    if (!owned_) throw JournalError(path(kFileName) + " is incomplete");
    needs_rewrite_ = true;
  } else if (is_known_magic(start)) {
    size_ = kMagic.size();
    replay(std::string_view(text).substr(kMagic.size()));
    convert_to_current_clock();
  } else {
    throw JournalError(path(kFileName) + " is not a journal of a known version");
  }
  if (!owned_) return;
  if (needs_rewrite_) {
    compact();
  } else if (truncated_bytes_ > 0) {
    truncate_torn_tail();
  }
}

void Journal::replay(std::string_view records) {
  std::size_t at = 0;
  while (const auto payload = first_payload(records.substr(at))) {
    if (!apply(*payload)) break;
    at += kFrameSize + payload->size();
  }
  size_ += at;
  truncated_bytes_ = records.size() - at;
}

void Journal::truncate_torn_tail() {
  if (::ftruncate(file_.get(), static_cast<off_t>(size_)) == 0) return;
  fail("cut the journal's torn tail", errno);
  needs_rewrite_ = true;
  compact();
}

// Points in time are read on the clock that the file names. An owner rewrites the file on its own clock
// before it appends.
void Journal::convert_to_current_clock() {
  const ClockReading now = read_current_clock();
  const Time shift = clock_ ? steady_shift(*clock_, now) : wall_shift(now);
  needs_rewrite_ = !clock_ || shift != Time(0);
  for (auto& [stream, entry] : held_) {
    entry.deadline += shift;
    entry.attempt_started += shift;
    entry.uncertain_since += shift;
  }
}

// The single interpretation of records, both for those just written and those read at startup.
bool Journal::apply(std::string_view payload) {
  PayloadReader r(payload);
  const RecordKind kind{r.get<std::uint8_t>()};
  const auto stream = r.get<std::uint64_t>();
  if (kind == RecordKind::fence) {
    generation_ = stream;
    return r.complete();
  }
  if (kind == RecordKind::clock) {
    clock_ = read_clock(r);
    return r.complete();
  }
  if (kind == RecordKind::entry) {
    JournalEntry entry = read_entry(r);
    if (!r.complete()) return false;
    next_stream_ = std::max(next_stream_, stream + 1);
    live_bytes_ += entry_record_size(entry);
    held_[stream] = std::move(entry);
    return true;
  }
  const auto it = held_.find(stream);
  if (it == held_.end()) return false;
  JournalEntry& e = it->second;
  switch (kind) {
    case RecordKind::started:
      ++e.attempts;
      e.in_flight = true;
      e.attempt_started = r.time();
      e.attempt_zone = r.get<std::uint32_t>();
      break;
    case RecordKind::outcome:
      e.in_flight = false;
      if (r.get<std::uint8_t>() != 0 && !e.may_have_run) {
        e.may_have_run = true;
        e.uncertain_since = e.attempt_started;
        e.uncertain_zone = e.attempt_zone;
      }
      break;
    case RecordKind::given_up:
      e.verdict = Verdict{r.get<std::uint8_t>()};
      e.retry_after = r.time();
      break;
    case RecordKind::ended:
      live_bytes_ -= entry_record_size(e);
      held_.erase(it);
      break;
    default:
      return false;
  }
  return r.complete();
}

bool Journal::has_room(std::size_t id_size, std::size_t body_size) const {
  // A quarter stays free, so that a full journal is not compacted with every record.
  JournalEntry empty;
  const std::uint64_t new_entry = entry_record_size(empty) + id_size + body_size + kReservedRecordBytes;
  const std::uint64_t live = kMaxHeaderBytes + live_bytes_ + held_.size() * kReservedRecordBytes;
  return live + new_entry <= max_bytes_ / 4 * 3;
}

// Always returns false, for callers to return.
bool Journal::fail(const char* operation, int error) {
  failure_ = StorageFailure{operation, error};
  return false;
}

// Detects that this process has been fenced off: an owner knows the exact size of its file. If the file has
// grown, or is no longer the one in the folder, checks for a later fence.
bool Journal::is_unchanged() {
  if (!owned_) throw JournalError("the journal has another owner");
  struct stat found {};
  if (::fstat(file_.get(), &found) != 0) return fail("look at the journal", errno);
  if (found.st_nlink > 0 && static_cast<std::uint64_t>(found.st_size) == size_) return true;
  needs_rewrite_ = true;
  confirm_ownership();
  return fail("find the journal as it was left", found.st_nlink == 0 ? ENOENT : EIO);
}

// Whether the journal in the folder has no later fence; false if that cannot be determined now. Throws
// JournalError if there is one.
bool Journal::confirm_ownership() {
  if (!owned_) throw JournalError("the journal has another owner");
  try {
    if (Journal(folder_, max_bytes_, Access::observer).generation() <= generation_) return true;
  } catch (const JournalError& e) {
    // There is no journal, or none that this program has written.
    if (e.error() == ENOENT || e.error() == 0) return true;
    return fail("look at the journal", e.error());
  }
  owned_ = false;
  throw JournalError("the journal has another owner");
}

void Journal::fence(Generation to) {
  // The next owner would read a file that lacks records this one has.
  if (needs_rewrite_) throw JournalError("the journal must be rewritten first", EIO);
  if (!append(add_frame(PayloadWriter(RecordKind::fence, to).text()))) {
    throw JournalError(failure_->text(), failure_->error);
  }
  generation_ = to;
  owned_ = false;
}

bool Journal::file_replaced() const {
  struct stat current {
  }, opened{};
  return ::stat(path(kFileName).c_str(), &current) != 0 || ::fstat(file_.get(), &opened) != 0 ||
         current.st_ino != opened.st_ino || current.st_dev != opened.st_dev;
}

void Journal::catch_up() {
  // The owner has compacted the journal.
  if (file_replaced()) {
    *this = Journal(folder_, max_bytes_, Access::observer);
    return;
  }
  if (::lseek(file_.get(), static_cast<off_t>(size_), SEEK_SET) < 0) throw_failure("read " + path(kFileName));
  replay(read_all(file_.get(), path(kFileName)));
}

void Journal::claim(Generation generation) {
  if (owned_) throw JournalError("the journal is already owned");
  // The known state must be as recent as the file: the previous owner must not have written since it was
  // taken.
  const std::uint64_t known_size = size_;
  const Generation previous = generation_;
  if (file_replaced()) throw JournalError("the journal has been changed since");
  catch_up();
  const std::uint64_t fence_size =
      generation_ == previous ? 0 : add_frame(PayloadWriter(RecordKind::fence, 0).text()).size();
  if (truncated_bytes_ > 0 || size_ != known_size + fence_size)
    throw JournalError("the journal has been changed since");
  const bool fenced = generation_ == generation;
  if (!fenced && generation_ + 1 != generation) throw JournalError("the journal has another owner");
  owned_ = true;
  if (fenced) return;
  fence(generation);
  owned_ = true;
}

bool Journal::append(const std::string& record) {
  if (!is_unchanged()) return false;
  if (size_ + record.size() > max_bytes_ && !compact()) return false;
  if (size_ + record.size() > max_bytes_) return fail("write beyond the journal's limit", ENOSPC);
  if (const int error = write_all(file_.get(), record); error != 0) {
    // Records after a partial one would not be read.
    needs_rewrite_ = ::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0;
    return fail("write the journal", error);
  }
  size_ += record.size();
  ++records_;
  failure_.reset();
  return true;
}

void Journal::apply_written(const std::string& payload) {
  if (!apply(payload)) throw JournalError("record of a message that is not held");
}

bool Journal::write_then_apply(const std::string& payload) {
  if (!owned_) throw JournalError("the journal has another owner");
  if (needs_rewrite_ && !repair()) return false;
  if (!append(add_frame(payload))) return false;
  apply_written(payload);
  return true;
}

void Journal::apply_best_effort(const std::string& payload) {
  if (!owned_) throw JournalError("the journal has another owner");
  if (needs_rewrite_ || !append(add_frame(payload))) needs_rewrite_ = true;
  apply_written(payload);
}

bool Journal::repair() {
  if (!failure_ && !needs_rewrite_) return true;
  return confirm_ownership() && compact();
}

std::string Journal::compacted_text() const {
  std::string text(kMagic);
  text += add_frame(clock_payload(read_current_clock()));
  if (generation_ > 1) text += add_frame(PayloadWriter(RecordKind::fence, generation_).text());
  for (const auto& [stream, entry] : held_) text += add_frame(entry_payload(stream, entry));
  return text;
}

bool Journal::compact() {
  const std::string text = compacted_text();
  FileDescriptor file(
      ::open(path(kNewFileName).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644));
  if (file.get() < 0) return fail("open a new journal", errno);
  int error = write_all(file.get(), text);
  if (error == 0 && ::rename(path(kNewFileName).c_str(), path(kFileName).c_str()) != 0) error = errno;
  if (error != 0) {
    ::unlink(path(kNewFileName).c_str());  // a partial file would count against the disk limit
    return fail("write a new journal", error);
  }
  file_ = std::move(file);
  size_ = text.size();
  ++compactions_;
  needs_rewrite_ = false;
  failure_.reset();
  return true;
}

bool Journal::message_accepted(StreamId stream, JournalEntry entry) {
  return write_then_apply(entry_payload(stream, entry));
}
namespace {
std::string started_payload(StreamId stream, Time now, std::uint32_t zone) {
  return PayloadWriter(RecordKind::started, stream).put(now).put(zone).text();
}
}  // namespace
bool Journal::attempt_started(StreamId stream, Time now, std::uint32_t zone) {
  return write_then_apply(started_payload(stream, now, zone));
}
void Journal::attempt_started_best_effort(StreamId stream, Time now, std::uint32_t zone) {
  apply_best_effort(started_payload(stream, now, zone));
}
void Journal::attempt_ended(StreamId stream, bool may_have_run) {
  apply_best_effort(
      PayloadWriter(RecordKind::outcome, stream).put(static_cast<std::uint8_t>(may_have_run)).text());
}
void Journal::message_given_up(StreamId stream, Verdict verdict, Time retry_after) {
  apply_best_effort(PayloadWriter(RecordKind::given_up, stream)
                        .put(static_cast<std::uint8_t>(verdict))
                        .put(retry_after)
                        .text());
}
void Journal::message_ended(StreamId stream) {
  apply_best_effort(PayloadWriter(RecordKind::ended, stream).text());
}

}  // namespace fennellane
