#include "record_codec.hpp"

#include <zlib.h>

#include "byte_units.hpp"

namespace fennellane::journal {
namespace {

constexpr std::size_t kMaxRecordSize = kMiB;  // well above the size of any record

std::uint32_t checksum(std::string_view text) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

}  // namespace

std::string PayloadReader::text() {
  const auto size = get<std::uint32_t>();
  if (size > text_.size()) {
    valid_ = false;
    return {};
  }
  std::string out(text_.substr(0, size));
  text_.remove_prefix(size);
  return out;
}

std::string entry_payload(StreamId stream, const JournalEntry& e) {
  PayloadWriter w(RecordKind::entry, stream);
  w.put(std::string_view(e.id)).put(e.message_class).put(e.tenant).put(e.destination).put(e.deadline);
  w.put(e.attempts).put(static_cast<std::uint8_t>(e.in_flight)).put(e.attempt_started).put(e.attempt_zone);
  w.put(static_cast<std::uint8_t>(e.may_have_run)).put(e.uncertain_since).put(e.uncertain_zone);
  w.put(static_cast<std::uint8_t>(e.verdict ? *e.verdict : Verdict{})).put(e.retry_after);
  w.put(std::string_view(*e.body)).put(std::string_view(e.idempotency_key));
  return w.text();
}

JournalEntry read_entry(PayloadReader& r) {
  JournalEntry e;
  e.id = r.text();
  e.message_class = r.get<std::uint32_t>();
  e.tenant = r.get<std::uint32_t>();
  e.destination = r.get<std::uint32_t>();
  e.deadline = r.time();
  e.attempts = r.get<std::uint32_t>();
  e.in_flight = r.get<std::uint8_t>() != 0;
  e.attempt_started = r.time();
  e.attempt_zone = r.get<std::uint32_t>();
  e.may_have_run = r.get<std::uint8_t>() != 0;
  e.uncertain_since = r.time();
  e.uncertain_zone = r.get<std::uint32_t>();
  if (const auto verdict = r.get<std::uint8_t>(); verdict != 0) e.verdict = static_cast<Verdict>(verdict);
  e.retry_after = r.time();
  e.body = std::make_shared<const std::string>(r.text());
  if (!r.complete()) e.idempotency_key = r.text();  // absent in older versions
  return e;
}

std::string clock_payload(const ClockReading& clock) {
  return PayloadWriter(RecordKind::clock, 0)
      .put(std::string_view(clock.boot))
      .put(clock.steady)
      .put(clock.wall)
      .text();
}

ClockReading read_clock(PayloadReader& r) {
  ClockReading clock;
  clock.boot = r.text();
  clock.steady = r.time();
  clock.wall = r.time();
  return clock;
}

std::string add_frame(const std::string& payload) {
  std::string out;
  for (std::uint32_t value : {static_cast<std::uint32_t>(payload.size()), checksum(payload)}) {
    for (int i = 0; i < 4; ++i) out += static_cast<char>(value >> (8 * i) & 0xff);
  }
  return out + payload;
}

std::size_t entry_record_size(const JournalEntry& e) {
  static const std::size_t empty = add_frame(entry_payload(0, JournalEntry{})).size();
  return empty + e.id.size() + e.idempotency_key.size() + e.body->size();
}

std::optional<std::string_view> first_payload(std::string_view records) {
  if (records.size() < kFrameSize) return std::nullopt;
  PayloadReader head(records.substr(0, kFrameSize));
  const auto size = head.get<std::uint32_t>();
  const auto sum = head.get<std::uint32_t>();
  if (size > kMaxRecordSize || records.size() - kFrameSize < size) return std::nullopt;
  const std::string_view payload = records.substr(kFrameSize, size);
  if (checksum(payload) != sum) return std::nullopt;
  return payload;
}

}  // namespace fennellane::journal
