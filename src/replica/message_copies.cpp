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
    // What is so, not since when: an owner that has begun anew numbers its records anew. Whether the body is
    // there is a part of it: a copy without one is of no use.
    const JournalEntry& e = record.entry;
    const std::uint64_t flags =
        (e.in_flight ? 1u : 0u) | (e.may_have_run ? 2u : 0u) | (record.has_body ? 4u : 0u);
    const std::uint64_t one[] = {stream, e.attempts, flags,
                                 e.verdict ? static_cast<std::uint64_t>(*e.verdict) : 0};
    std::uint64_t& digest = digests[range_of(stream)];
    digest = XXH3_64bits_withSeed(one, sizeof one, digest);
  }
  return digests;
}

void MessageCopies::erase(std::map<StreamId, Record>::iterator it) {
  bytes_ -= accounted_bytes(it->second);
  held_.erase(it);
}

void MessageCopies::merge(const Record& record) {
  const auto [it, fresh] = held_.try_emplace(record.stream, record);
  if (fresh) {
    bytes_ += accounted_bytes(it->second);
  } else {
    const std::size_t before = accounted_bytes(it->second);
    join(it->second, record);
    bytes_ += accounted_bytes(it->second) - before;
  }
  // An end is final, and the owner tells nothing of the stream behind it on this way: nothing has to be kept.
  if (it->second.ended) erase(it);
}

bool MessageCopies::apply(const Records& records) {
  if (records.up_to.token < position_.token) return false;
  for (const Record& record : records.records) {
    // Guards against what comes twice: the stream may have ended since, and be forgotten.
    if (record.version > position_) merge(record);
  }
  position_ = std::max(position_, records.up_to);
  return true;
}

bool MessageCopies::apply(const Range& range, Version as_of) {
  if (as_of.token < position_.token) return false;
  std::set<StreamId> named;
  for (const Record& record : range.records) {
    if (range_of(record.stream) != range.range) return false;
    named.insert(record.stream);
  }
  for (auto it = held_.begin(); it != held_.end();) {
    const auto each = it++;
    if (range_of(each->first) == range.range && named.count(each->first) == 0 &&
        each->second.version <= as_of)
      erase(each);
  }
  for (const Record& record : range.records) merge(record);
  return true;
}

}  // namespace fennellane::replica
