#include "journal.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <thread>
#include <type_traits>
#include <utility>

namespace fennellane {
namespace {

// Version 2 has fences, and is told from the first one, so that a program that knows none leaves it alone.
constexpr std::string_view kMagic = "fennellane journal 1\n";
constexpr std::string_view kFencedMagic = "fennellane journal 2\n";
constexpr off_t kVersionAt = 19;
constexpr const char* kName = "journal";
constexpr const char* kNewName = "journal.new";
constexpr std::size_t kFrame = 8;                 // length and checksum
constexpr std::size_t kMostRecord = 1024 * 1024;  // far over any record that is written
constexpr std::uint64_t kLaterRecords = 128;      // room kept for what a held message still writes

enum class Kind : std::uint8_t { entry = 1, started = 2, outcome = 3, given_up = 4, ended = 5, fence = 6 };

class Writer {
 public:
  Writer(Kind kind, StreamId stream) { put(static_cast<std::uint8_t>(kind)).put(stream); }
  template <class T>
  Writer& put(T value) {
    static_assert(std::is_unsigned_v<T>);
    for (std::size_t i = 0; i < sizeof value; ++i) {
      text_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
    }
    return *this;
  }
  Writer& put(std::chrono::microseconds t) { return put(static_cast<std::uint64_t>(t.count())); }
  Writer& put(std::string_view text) {
    put(static_cast<std::uint32_t>(text.size()));
    text_ += text;
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) {}
  template <class T>
  T get() {
    std::uint64_t value = 0;
    if (text_.size() < sizeof(T)) {
      good_ = false;
      return {};
    }
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(text_[i])) << (8 * i);
    }
    text_.remove_prefix(sizeof(T));
    return static_cast<T>(value);
  }
  std::chrono::microseconds time() {
    return std::chrono::microseconds(static_cast<std::int64_t>(get<std::uint64_t>()));
  }
  std::string text() {
    const auto size = get<std::uint32_t>();
    if (size > text_.size()) {
      good_ = false;
      return {};
    }
    std::string out(text_.substr(0, size));
    text_.remove_prefix(size);
    return out;
  }
  bool whole() const { return good_ && text_.empty(); }

 private:
  std::string_view text_;
  bool good_ = true;
};

std::string entry_payload(StreamId stream, const JournalEntry& e) {
  Writer w(Kind::entry, stream);
  w.put(std::string_view(e.id)).put(e.message_class).put(e.tenant).put(e.destination).put(e.deadline);
  w.put(e.attempts).put(static_cast<std::uint8_t>(e.out)).put(e.out_since).put(e.out_zone);
  w.put(static_cast<std::uint8_t>(e.may_have_run)).put(e.doubt_since).put(e.doubt_zone);
  w.put(static_cast<std::uint8_t>(e.verdict ? *e.verdict : Verdict{})).put(e.again);
  w.put(std::string_view(*e.body));
  return w.text();
}

JournalEntry read_entry(Reader& r) {
  JournalEntry e;
  e.id = r.text();
  e.message_class = r.get<std::uint32_t>();
  e.tenant = r.get<std::uint32_t>();
  e.destination = r.get<std::uint32_t>();
  e.deadline = r.time();
  e.attempts = r.get<std::uint32_t>();
  e.out = r.get<std::uint8_t>() != 0;
  e.out_since = r.time();
  e.out_zone = r.get<std::uint32_t>();
  e.may_have_run = r.get<std::uint8_t>() != 0;
  e.doubt_since = r.time();
  e.doubt_zone = r.get<std::uint32_t>();
  if (const auto verdict = r.get<std::uint8_t>(); verdict != 0) e.verdict = static_cast<Verdict>(verdict);
  e.again = r.time();
  e.body = std::make_shared<const std::string>(r.text());
  return e;
}

std::uint32_t checksum(std::string_view text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

std::string framed(const std::string& payload) {
  std::string out;
  for (std::uint32_t value : {static_cast<std::uint32_t>(payload.size()), checksum(payload)}) {
    for (int i = 0; i < 4; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
  }
  return out + payload;
}

std::uint64_t entry_size(const JournalEntry& e) {
  static const std::size_t empty = framed(entry_payload(0, JournalEntry{})).size();
  return empty + e.id.size() + e.body->size();
}

[[noreturn]] void fail(const std::string& what) { throw JournalError(what + ": " + std::strerror(errno)); }

void write_all(int fd, std::string_view text, const std::string& what) {
  while (!text.empty()) {
    const ssize_t n = ::write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) fail("cannot write " + what);
    text.remove_prefix(static_cast<std::size_t>(n));
  }
}

std::string read_all(int fd, const std::string& what) {
  std::string text;
  char piece[16384];
  while (true) {
    const ssize_t n = ::read(fd, piece, sizeof piece);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) fail("cannot read " + what);
    if (n == 0) return text;
    text.append(piece, static_cast<std::size_t>(n));
  }
}

FileDescriptor open_folder(const std::string& folder) {
  return FileDescriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}
bool try_lock(const FileDescriptor& folder) { return ::flock(folder.get(), LOCK_EX | LOCK_NB) == 0; }

}  // namespace

bool journal_is_locked(const std::string& folder) {
  const FileDescriptor lock = open_folder(folder);
  return lock.get() >= 0 && !try_lock(lock) && errno == EWOULDBLOCK;
}

FileDescriptor lock_journal(const std::string& folder, Time wait) {
  FileDescriptor lock = open_folder(folder);
  if (lock.get() < 0) fail("cannot open " + folder);
  const auto end = std::chrono::steady_clock::now() + wait;
  while (!try_lock(lock)) {
    if (errno != EWOULDBLOCK && errno != EINTR) fail("cannot lock " + folder);
    if (std::chrono::steady_clock::now() >= end) throw JournalError(folder + " is another process's");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return lock;
}

Journal::Journal(std::string folder, std::uint64_t most_bytes, Access access)
    : folder_(std::move(folder)), most_bytes_(most_bytes), owned_(access == Access::owns) {
  if (owned_) ::unlink(path(kNewName).c_str());  // of a compaction that a crash cut short
  const int create = owned_ ? O_CREAT : 0;
  file_ = FileDescriptor(::open(path(kName).c_str(), O_RDWR | create | O_APPEND | O_CLOEXEC, 0644));
  if (file_.get() < 0) fail("cannot open " + path(kName));
  const std::string text = read_all(file_.get(), path(kName));
  const std::string_view start = std::string_view(text).substr(0, kMagic.size());
  if (start != kMagic.substr(0, start.size()) && start != kFencedMagic) {
    throw JournalError(path(kName) + " is no journal that this program knows");
  }
  if (start.size() < kMagic.size() && !owned_) throw JournalError(path(kName) + " is not whole");
  if (start.size() < kMagic.size()) {
    if (::ftruncate(file_.get(), 0) != 0) fail("cannot cut " + path(kName));
    write_all(file_.get(), kMagic, path(kName));
    size_ = kMagic.size();
    return;
  }
  size_ = kMagic.size();
  replay(std::string_view(text).substr(kMagic.size()));
}

void Journal::replay(std::string_view text) {
  std::size_t at = 0;
  while (text.size() - at >= kFrame) {
    Reader head(text.substr(at, kFrame));
    const auto size = head.get<std::uint32_t>();
    const auto sum = head.get<std::uint32_t>();
    if (size > kMostRecord || text.size() - at - kFrame < size) break;
    const std::string_view payload = text.substr(at + kFrame, size);
    if (checksum(payload) != sum || !apply(payload)) break;
    at += kFrame + size;
  }
  size_ += at;
  cut_bytes_ = text.size() - at;
  if (cut_bytes_ > 0 && owned_ && ::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0)
    fail("cannot cut " + path(kName));
}

// The one place that says what a record means: for those just written and for those read at a start.
bool Journal::apply(std::string_view payload) {
  Reader r(payload);
  const Kind kind{r.get<std::uint8_t>()};
  const auto stream = r.get<std::uint64_t>();
  if (kind == Kind::fence) {
    generation_ = stream;
    return r.whole();
  }
  next_ = std::max(next_, stream + 1);
  if (kind == Kind::entry) {
    JournalEntry entry = read_entry(r);
    if (!r.whole()) return false;
    live_ += entry_size(entry);
    held_[stream] = std::move(entry);
    return true;
  }
  const auto it = held_.find(stream);
  if (it == held_.end()) return false;
  JournalEntry& e = it->second;
  switch (kind) {
    case Kind::started:
      ++e.attempts;
      e.out = true;
      e.out_since = r.time();
      e.out_zone = r.get<std::uint32_t>();
      break;
    case Kind::outcome:
      e.out = false;
      if (r.get<std::uint8_t>() != 0 && !e.may_have_run) {
        e.may_have_run = true;
        e.doubt_since = e.out_since;
        e.doubt_zone = e.out_zone;
      }
      break;
    case Kind::given_up:
      e.verdict = Verdict{r.get<std::uint8_t>()};
      e.again = r.time();
      break;
    case Kind::ended:
      live_ -= entry_size(e);
      held_.erase(it);
      break;
    default:
      return false;
  }
  return r.whole();
}

bool Journal::has_room(std::size_t id_size, std::size_t body_size) const {
  // A quarter stays free, so that a full journal is not compacted at every record.
  JournalEntry empty;
  const std::uint64_t entry = entry_size(empty) + id_size + body_size + kLaterRecords;
  const std::uint64_t live = kMagic.size() + live_ + held_.size() * kLaterRecords;
  return live + entry <= most_bytes_ / 4 * 3;
}

// Guards against a process that has been fenced off and does not know it: an owner knows its file to the
// byte, and one that has grown, or is no longer the one in the folder, is another's.
void Journal::check_owned() const {
  struct stat found {};
  if (!owned_ || ::fstat(file_.get(), &found) != 0 || found.st_nlink == 0 ||
      static_cast<std::uint64_t>(found.st_size) != size_) {
    throw JournalError("the journal has another owner");
  }
}

void Journal::fence(Generation to) {
  // The version first: a crash between the two leaves a journal that only a program with fences reads.
  const FileDescriptor plain(::open(path(kName).c_str(), O_WRONLY | O_CLOEXEC));
  if (plain.get() < 0 || ::pwrite(plain.get(), &kFencedMagic[kVersionAt], 1, kVersionAt) != 1) {
    fail("cannot write " + path(kName));
  }
  append(Writer(Kind::fence, to).text());
  owned_ = false;
}

bool Journal::moved() const {
  struct stat here {
  }, known{};
  return ::stat(path(kName).c_str(), &here) != 0 || ::fstat(file_.get(), &known) != 0 ||
         here.st_ino != known.st_ino || here.st_dev != known.st_dev;
}

void Journal::catch_up() {
  // It was compacted.
  if (moved()) {
    *this = Journal(folder_, most_bytes_, Access::observes);
    return;
  }
  if (::lseek(file_.get(), static_cast<off_t>(size_), SEEK_SET) < 0) fail("cannot read " + path(kName));
  replay(read_all(file_.get(), path(kName)));
}

void Journal::claim(Generation generation) {
  if (owned_) throw JournalError("the journal is owned already");
  // Guards against a state that is older than the journal: its owner must have been frozen since.
  const std::uint64_t known = size_;
  const Generation before = generation_;
  if (moved()) throw JournalError("the journal has gone on since");
  catch_up();
  const std::uint64_t fence = generation_ == before ? 0 : framed(Writer(Kind::fence, 0).text()).size();
  if (cut_bytes_ > 0 || size_ != known + fence) throw JournalError("the journal has gone on since");
  const bool fenced = generation_ == generation;
  if (!fenced && generation_ + 1 != generation) throw JournalError("the journal has another owner");
  owned_ = true;
  if (fenced) return;
  this->fence(generation);
  owned_ = true;
}

void Journal::append(const std::string& payload) {
  check_owned();
  const std::string record = framed(payload);
  if (size_ + record.size() > most_bytes_) compact();
  if (size_ + record.size() > most_bytes_) throw JournalError("the journal is full");
  try {
    write_all(file_.get(), record, path(kName));
  } catch (const JournalError&) {
    // Guards against half a record, behind which nothing would be read.
    if (::ftruncate(file_.get(), static_cast<off_t>(size_)) != 0) owned_ = false;
    throw;
  }
  size_ += record.size();
  ++records_;
  if (!apply(payload)) throw JournalError("a record of a message that is not held");
}

void Journal::compact() {
  std::string text(generation_ > 1 ? kFencedMagic : kMagic);
  if (generation_ > 1) text += framed(Writer(Kind::fence, generation_).text());
  for (const auto& [stream, entry] : held_) text += framed(entry_payload(stream, entry));
  FileDescriptor file(
      ::open(path(kNewName).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644));
  if (file.get() < 0) fail("cannot open " + path(kNewName));
  write_all(file.get(), text, path(kNewName));
  if (::rename(path(kNewName).c_str(), path(kName).c_str()) != 0) fail("cannot rename " + path(kNewName));
  file_ = std::move(file);
  size_ = text.size();
  ++compactions_;
}

void Journal::taken(StreamId stream, JournalEntry entry) { append(entry_payload(stream, entry)); }
void Journal::attempt_started(StreamId stream, WallTime now, std::uint32_t zone) {
  append(Writer(Kind::started, stream).put(now).put(zone).text());
}
void Journal::attempt_ended(StreamId stream, bool may_have_run) {
  append(Writer(Kind::outcome, stream).put(static_cast<std::uint8_t>(may_have_run)).text());
}
void Journal::given_up(StreamId stream, Verdict verdict, Time again) {
  append(Writer(Kind::given_up, stream).put(static_cast<std::uint8_t>(verdict)).put(again).text());
}
void Journal::ended(StreamId stream) { append(Writer(Kind::ended, stream).text()); }

}  // namespace fennellane
