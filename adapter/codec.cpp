#include <bit>
#include <cmath>
#include <limits>

#include "wire.hpp"

namespace wire {
namespace {

using starlinghook::Outcome;
using starlinghook::Time;

// Big-endian fields of one record or entry. The caller has checked that the record is complete.
class Fields {
 public:
  explicit Fields(std::string_view bytes) : bytes_(bytes) {}
  std::uint64_t number(std::size_t offset, std::size_t width) const {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < width; ++i)
      value = value << 8 | static_cast<std::uint8_t>(bytes_[offset + i]);
    return value;
  }
  std::uint8_t u8(std::size_t offset) const { return static_cast<std::uint8_t>(number(offset, 1)); }
  std::uint16_t u16(std::size_t offset) const { return static_cast<std::uint16_t>(number(offset, 2)); }
  std::uint32_t u32(std::size_t offset) const { return static_cast<std::uint32_t>(number(offset, 4)); }
  std::uint64_t u64(std::size_t offset) const { return number(offset, 8); }
  float f32(std::size_t offset) const { return std::bit_cast<float>(u32(offset)); }

 private:
  std::string_view bytes_;
};

std::string_view tail_slice(std::string_view tail, std::uint64_t from, std::uint64_t length) {
  if (from > tail.size() || length > tail.size() - from)
    throw InputError("offset and length exceed the tail");
  return tail.substr(from, length);
}

Time parse_time(std::uint64_t value) {
  if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    throw InputError("time is out of range");
  }
  return Time(static_cast<std::int64_t>(value));
}

Outcome parse_outcome(std::uint16_t code) {
  if (code > static_cast<std::uint16_t>(Outcome::not_sent)) {
    throw InputError("unknown outcome code " + std::to_string(code));
  }
  return static_cast<Outcome>(code);
}

std::vector<starlinghook::EndpointEntry> decode_entries(std::string_view bytes) {
  std::vector<starlinghook::EndpointEntry> entries;
  for (std::size_t offset = 0; offset < bytes.size(); offset += kEntrySize) {
    Fields fields(bytes.substr(offset, kEntrySize));
    starlinghook::EndpointEntry entry;
    entry.zone = fields.u8(0);
    entry.kind = fields.u16(1);
    entry.rate = fields.f32(3);
    entry.endpoint = fields.u32(7);
    std::uint8_t condition = fields.u8(11);
    if (condition > 2) throw InputError("unknown condition in a list entry");
    entry.condition = static_cast<starlinghook::Condition>(condition);
    entry.destination = fields.u16(20);
    if (!std::isfinite(entry.rate) || entry.rate < 0) throw InputError("list entry has an invalid rate");
    entries.push_back(entry);
  }
  return entries;
}

void decode_stats(const Fields& fields, std::size_t offset, EventRecord& record) {
  record.stat_count = fields.u8(offset);
  if (record.stat_count > record.stats.size()) throw InputError("load report has too many values");
  for (std::size_t i = 0; i < record.stats.size(); ++i) record.stats[i] = fields.f32(offset + 1 + 4 * i);
}

EventRecord decode_event(const Fields& fields, std::string_view tail) {
  EventRecord r;
  std::uint8_t code = fields.u8(0);
  if (code < 16 || code > 26) throw InputError("unknown event code " + std::to_string(code));
  r.code = static_cast<EventCode>(code);
  r.instance = fields.u16(1);
  switch (r.code) {
    case EventCode::health_result:
      r.ended.endpoint = fields.u32(3);
      r.ended.outcome = parse_outcome(fields.u16(7));
      decode_stats(fields, 13, r);
      break;
    case EventCode::ended:
      r.message = r.ended.id = fields.u64(3);
      r.ended.attempt = fields.u8(11);
      r.ended.endpoint = fields.u32(12);
      r.ended.outcome = parse_outcome(fields.u16(16));
      r.ended.finished = fields.u8(22) != 0;
      if (r.ended.outcome == Outcome::full) r.ended.retry_after = std::chrono::milliseconds(fields.u32(23));
      r.ended.no_slot = r.ended.outcome == Outcome::not_sent && fields.u32(23) == 1;
      decode_stats(fields, 27, r);
      break;
    case EventCode::list:
      r.list_number = fields.u16(1);
      if (r.list_number >= kMaxLists) throw InputError("list number is out of range");
      r.entries = decode_entries(tail_slice(tail, fields.u32(3), std::uint64_t{fields.u32(7)} * kEntrySize));
      break;
    case EventCode::inbox:
      r.sender = fields.u32(3);
      r.text = tail_slice(tail, fields.u32(7), fields.u32(11));
      break;
    case EventCode::wake:
      r.label = fields.u64(3);
      break;
    case EventCode::order: {
      r.message = r.arrival.id = fields.u64(3);
      r.arrival.message_class = fields.u8(11);
      r.arrival.tenant = fields.u32(12);
      r.arrival.key = fields.u64(16);
      r.arrival.time_left = Time(fields.u32(24));
      float destination = fields.f32(32);
      if (!(destination >= 0 && destination <= 65535)) throw InputError("message has an invalid destination");
      r.arrival.destination = static_cast<starlinghook::DestinationId>(destination);
      break;
    }
    case EventCode::kill:
      break;
    case EventCode::roster_change: {
      std::uint8_t form = fields.u8(3);
      if (form > 3) throw InputError("unknown form in a list change");
      r.form = static_cast<RosterForm>(form);
      r.list_number = fields.u16(4);
      if (r.form != RosterForm::failed && r.list_number >= kMaxLists) {
        throw InputError("list number is out of range");
      }
      break;
    }
    case EventCode::opened:
      r.message = fields.u64(3);
      r.ended.attempt = fields.u8(11);
      break;
    case EventCode::new_instance:
      r.salt = fields.u64(3);
      r.text = tail_slice(tail, fields.u32(11), fields.u32(15));
      break;
    case EventCode::dropped:
      r.message = fields.u64(3);
      break;
  }
  return r;
}

void append_big_endian(std::string& out, std::uint64_t value, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

// Converts to 32 bits: a longer time becomes the maximum, a negative one zero.
std::uint32_t saturated_span(Time t) {
  if (t.count() <= 0) return 0;
  if (t.count() > std::numeric_limits<std::uint32_t>::max()) return std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(t.count());
}

// One action record: the constructor writes code and instance, the destructor pads the record to its full
// size.
class Record {
 public:
  Record(std::string& out, ActionCode code, std::uint16_t instance) : out_(out), start_(out.size()) {
    append_big_endian(out_, static_cast<std::uint8_t>(code), 1);
    append_big_endian(out_, instance, 2);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { out_.resize(start_ + kActionSize, '\0'); }
  Record& field(std::uint64_t value, std::size_t width) {
    append_big_endian(out_, value, width);
    return *this;
  }
  Record& tail(std::string& tail, std::string_view bytes) {
    append_big_endian(out_, tail.size(), 4);
    append_big_endian(out_, bytes.size(), 4);
    tail.append(bytes);
    return *this;
  }

 private:
  std::string& out_;
  std::size_t start_;
};

template <class... Ts>
struct Overload : Ts... {
  using Ts::operator()...;
};

}  // namespace

std::size_t frame_length(std::string_view start) {
  std::size_t length = Fields(start).u32(0);
  if (length < kBatchHeaderSize) throw InputError("frame is shorter than its header");
  return length;
}

Batch decode_batch(std::string_view frame) {
  if (frame.size() < kBatchHeaderSize || frame_length(frame) != frame.size()) {
    throw InputError("frame length does not match its header");
  }
  Fields header(frame);
  std::uint64_t count = header.u32(4);
  if (count > (frame.size() - kBatchHeaderSize) / kEventSize)
    throw InputError("frame is too short for its record count");
  Batch batch;
  batch.clock = parse_time(header.u64(8));
  std::string_view tail = frame.substr(kBatchHeaderSize + count * kEventSize);
  batch.events.reserve(count);
  for (std::uint64_t i = 0; i < count; ++i) {
    batch.events.push_back(
        decode_event(Fields(frame.substr(kBatchHeaderSize + i * kEventSize, kEventSize)), tail));
  }
  return batch;
}

void ReplyWriter::add(std::uint16_t instance, const starlinghook::Action& action) {
  auto record = [&](ActionCode code) { return Record(records_, code, instance); };
  std::visit(Overload{
                 [&](const starlinghook::Send& a) {
                   record(ActionCode::hand_off)
                       .field(a.id, 8)
                       .field(a.endpoint, 4)
                       .field(saturated_span(a.timeout), 4);
                 },
                 [&](const starlinghook::Refuse& a) {
                   record(ActionCode::reject).field(a.id, 8).field(saturated_span(a.retry_after), 4);
                 },
                 [&](const starlinghook::Fail& a) { record(ActionCode::end_failed).field(a.id, 8); },
                 [&](const starlinghook::Cancel& a) {
                   record(ActionCode::retract).field(a.id, 8).field(a.attempt, 1);
                 },
                 [&](const starlinghook::Probe& a) { record(ActionCode::sound_out).field(a.endpoint, 4); },
                 [&](const starlinghook::CloseIdleConnections& a) {
                   record(ActionCode::release).field(a.endpoint, 4);
                 },
                 [&](const starlinghook::SetTimer& a) {
                   auto at = static_cast<std::uint64_t>(a.at.count() < 0 ? 0 : a.at.count());
                   record(ActionCode::after).field(at, 8).field(a.label, 8);
                 },
                 [&](const starlinghook::WatchList&) { record(ActionCode::watch).field(1, 1); },
                 [&](const starlinghook::FetchList&) { record(ActionCode::list_all); },
                 [&](const starlinghook::LogMessage& a) { record(ActionCode::say_log).tail(tail_, a.text); },
             },
             action);
  ++count_;
}

void ReplyWriter::panic(std::uint16_t instance, std::string_view text) {
  Record(records_, ActionCode::panic, instance).tail(tail_, text);
  ++count_;
}

std::string ReplyWriter::finish() {
  std::string frame;
  append_big_endian(frame, kReplyHeaderSize + records_.size() + tail_.size(), 4);
  append_big_endian(frame, count_, 4);
  frame += records_;
  frame += tail_;
  records_.clear();
  tail_.clear();
  count_ = 0;
  return frame;
}

}  // namespace wire
