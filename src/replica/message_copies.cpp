#include "message_copies.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace fennellane::replica {
namespace {

std::size_t accounted_bytes(const Record& record) {
  return kStreamOverheadBytes + record.entry.id.size() + (record.has_body ? record.entry.body->size() : 0);
}

}  // namespace

Digests compute_digests(const std::map<StreamId, Record>& held) {
  Digests digests{};
  for (const auto& [stream, record] : held) {
    // The state without its version: an owner that has restarted numbers its records anew. The presence of
    // the body is included: a copy without one cannot be used.
    const JournalEntry& e = record.entry;
    const std::uint64_t flags =
        (e.in_flight ? 1u : 0u) | (e.may_have_run ? 2u : 0u) | (record.has_body ? 4u : 0u);
    const std::uint64_t fields[] = {stream, e.attempts, flags,
                                    e.verdict ? static_cast<std::uint64_t>(*e.verdict) : 0};
    std::uint64_t& digest = digests[range_of(stream)];
    digest = XXH3_64bits_withSeed(fields, sizeof fields, digest);
  }
  return digests;
}

void MessageCopies::erase(std::map<StreamId, Record>::iterator it) {
  bytes_ -= accounted_bytes(it->second);
  held_.erase(it);
}

void MessageCopies::merge(const Record& record) {
  const auto [it, added] = held_.try_emplace(record.stream, record);
  if (added) {
    bytes_ += accounted_bytes(it->second);
  } else {
    const std::size_t old_bytes = accounted_bytes(it->second);
    join(it->second, record);
    bytes_ += accounted_bytes(it->second) - old_bytes;
  }
  // An end is final, and the owner sends no further record of the stream on this connection, so nothing
  // has to be kept.
  if (it->second.ended) erase(it);
}

bool MessageCopies::apply(const Records& records) {
  if (records.up_to.token < position_.token) return false;
  for (const Record& record : records.records) {
    // A record that arrives twice is skipped: its stream may have ended and been erased since.
    if (record.version > position_) merge(record);
  }
  position_ = std::max(position_, records.up_to);
  return true;
}

bool MessageCopies::apply(const Range& range, Version as_of) {
  if (as_of.token < position_.token) return false;
  std::set<StreamId> listed;
  for (const Record& record : range.records) {
    if (range_of(record.stream) != range.range) return false;
    listed.insert(record.stream);
  }
  for (auto it = held_.begin(); it != held_.end();) {
    const auto entry = it++;
    if (range_of(entry->first) == range.range && listed.count(entry->first) == 0 &&
        entry->second.version <= as_of)
      erase(entry);
  }
  for (const Record& record : range.records) merge(record);
  return true;
}

}  // namespace fennellane::replica
