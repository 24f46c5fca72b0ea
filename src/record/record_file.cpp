#include "record_file.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>

#include "descriptor.hpp"

namespace fennellane::record {
namespace {

constexpr std::uint64_t kMagic = 0x31444345524e4546;  // "FENRECD1": the version is its last byte
constexpr std::size_t kBlock = 512;

[[noreturn]] void fail(const std::string& path, const char* what) {
  throw RecordError("the flight record " + path + " " + what + ": " + std::strerror(errno));
}

FileDescriptor open_for_writing(const std::string& path) {
  FileDescriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640));
  if (file.get() < 0) fail(path, "cannot be opened");
  return file;
}
off_t size_of(const FileDescriptor& file, const std::string& path) {
  struct stat found {};
  if (::fstat(file.get(), &found) != 0) fail(path, "cannot be looked at");
  return found.st_size;
}

// Read and not mapped: a file that is cut meanwhile gives fewer bytes, and no fault.
std::vector<char> read_whole(const FileDescriptor& file, const std::string& path) {
  std::vector<char> bytes(static_cast<std::size_t>(size_of(file, path)));
  std::size_t got = 0;
  while (got < bytes.size()) {
    const ssize_t n = ::pread(file.get(), bytes.data() + got, bytes.size() - got, static_cast<off_t>(got));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    got += static_cast<std::size_t>(n);
  }
  bytes.resize(got);
  return bytes;
}

}  // namespace

struct Header {
  std::uint64_t magic;
  std::uint64_t capacity;
  std::uint64_t last;  // sequence given last
  std::uint64_t legend;
  std::uint64_t unused[4];
};

std::size_t record_file_size(std::uint64_t most) {
  constexpr std::size_t kFirst = kHeaderSize + kLegendSize;
  if (most < kFirst + kBlock) return 0;
  return static_cast<std::size_t>((most - kFirst) / kBlock * kBlock) + kFirst;
}

Header& RecordFile::header() const { return *static_cast<Header*>(memory_); }
Entry* RecordFile::entries() const {
  return reinterpret_cast<Entry*>(static_cast<char*>(memory_) + kHeaderSize + kLegendSize);
}

RecordFile::RecordFile(const std::string& path, std::size_t size) : size_(size) {
  static_assert(sizeof(Header) == kHeaderSize);
  FileDescriptor file = open_for_writing(path);
  if (const off_t found = size_of(file, path); found > 0 && static_cast<std::size_t>(found) != size) {
    // Guards one that is mapped by another process against being cut: the old file is left to it.
    if (::unlink(path.c_str()) != 0) fail(path, "cannot be replaced");
    file = open_for_writing(path);
  }
  if (const int error = ::posix_fallocate(file.get(), 0, static_cast<off_t>(size)); error != 0) {
    ::unlink(path.c_str());  // half a file is of no use and takes room
    errno = error;
    fail(path, "gets no room");
  }
  void* const memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
  if (memory == MAP_FAILED) fail(path, "cannot be mapped");
  memory_ = memory;
  capacity_ = (size - kHeaderSize - kLegendSize) / sizeof(Entry);
  Header& h = header();
  if (h.magic == kMagic && h.capacity == capacity_ && h.legend <= kLegendSize) return;
  std::memset(memory_, 0, size);
  h.capacity = capacity_;
  h.magic = kMagic;
}

RecordFile::~RecordFile() { ::munmap(memory_, size_); }

void RecordFile::set_legend(std::string_view text) {
  text = text.substr(0, kLegendSize);
  header().legend = 0;
  std::memcpy(static_cast<char*>(memory_) + kHeaderSize, text.data(), text.size());
  header().legend = text.size();
}

void RecordFile::append(Entry entry) {
  const std::uint64_t sequence = header().last + 1;
  Entry& place = entries()[sequence % capacity_];
  const std::atomic_ref<std::uint64_t> mark(place.sequence);
  mark.store(0, std::memory_order_relaxed);
  std::atomic_thread_fence(std::memory_order_release);
  entry.sequence = 0;
  std::memcpy(&place, &entry, sizeof entry);
  mark.store(sequence, std::memory_order_release);
  header().last = sequence;
}

Contents read_record(const std::string& path) {
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) fail(path, "cannot be opened");
  const std::vector<char> bytes = read_whole(file, path), again = read_whole(file, path);
  constexpr std::size_t kFirst = kHeaderSize + kLegendSize;
  Header head{};
  if (bytes.size() > kFirst && again.size() == bytes.size()) std::memcpy(&head, bytes.data(), sizeof head);
  if (head.magic != kMagic || head.legend > kLegendSize ||
      head.capacity != (bytes.size() - kFirst) / sizeof(Entry)) {
    throw RecordError(path + " is no flight record of this version");
  }
  Contents contents;
  contents.legend.assign(bytes.data() + kHeaderSize, head.legend);
  for (std::uint64_t i = 0; i < head.capacity; ++i) {
    const std::size_t at = kFirst + i * sizeof(Entry);
    // Guards against an entry that was written while it was read: it is another one at the second look.
    if (std::memcmp(bytes.data() + at, again.data() + at, sizeof(Entry)) != 0) continue;
    Entry entry;
    std::memcpy(&entry, bytes.data() + at, sizeof entry);
    const bool known = entry.kind != Kind::none && static_cast<std::uint16_t>(entry.kind) < kKinds;
    if (entry.sequence > 0 && entry.sequence % head.capacity == i && known) contents.entries.push_back(entry);
  }
  std::sort(contents.entries.begin(), contents.entries.end(),
            [](const Entry& a, const Entry& b) { return a.sequence < b.sequence; });
  if (!contents.entries.empty()) contents.overwritten = contents.entries.front().sequence - 1;
  return contents;
}

}  // namespace fennellane::record
