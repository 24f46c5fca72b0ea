// Encoding of journal records: a frame of length and checksum around a payload of a kind, a stream and its
// fields; all numbers little-endian.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "journal_clock.hpp"
#include "stream.hpp"

namespace fennellane::journal {

enum class RecordKind : std::uint8_t {
  entry = 1,
  started = 2,
  outcome = 3,
  given_up = 4,
  ended = 5,
  fence = 6,
  clock = 7
};

class PayloadWriter {
 public:
  PayloadWriter(RecordKind kind, StreamId stream) { put(static_cast<std::uint8_t>(kind)).put(stream); }
  template <class T>
  PayloadWriter& put(T value) {
    static_assert(std::is_unsigned_v<T>);
    for (std::size_t i = 0; i < sizeof value; ++i) {
      text_ += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
    }
    return *this;
  }
  PayloadWriter& put(std::chrono::microseconds t) { return put(static_cast<std::uint64_t>(t.count())); }
  PayloadWriter& put(std::string_view text) {
    put(static_cast<std::uint32_t>(text.size()));
    text_ += text;
    return *this;
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Reads the output of a PayloadWriter; past the end it returns zeros and is not complete.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view text) : text_(text) {}
  template <class T>
  T get() {
    std::uint64_t value = 0;
    if (text_.size() < sizeof(T)) {
      valid_ = false;
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
  std::string text();
  // Whether exactly the whole payload has been read.
  bool complete() const { return valid_ && text_.empty(); }

 private:
  std::string_view text_;
  bool valid_ = true;
};

std::string entry_payload(StreamId stream, const JournalEntry& entry);
JournalEntry read_entry(PayloadReader& reader);
std::string clock_payload(const ClockReading& clock);
ClockReading read_clock(PayloadReader& reader);

// The payload with its length and checksum prepended.
std::string add_frame(const std::string& payload);
// Size of an entry's record, including its frame.
std::size_t entry_record_size(const JournalEntry& entry);

// The payload of the first record, if it is complete and its checksum is correct.
std::optional<std::string_view> first_payload(std::string_view records);
constexpr std::size_t kFrameSize = 8;

}  // namespace fennellane::journal
