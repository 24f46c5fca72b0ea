#include "copy.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace fennellane::replica {
namespace {

std::size_t bytes_of(const Record& record) {
  return kStreamBytes + record.entry.id.size() + (record.has_body ? record.entry.body->size() : 0);
}

}  // namespace

Digests digests_of(const std::map<StreamId, Record>& held) {
  Digests digests{};
  for (const auto& [stream, record] : held) {
    // What is so, not since when: an owner that has begun anew numbers its records anew. Whether the body is
    // there is a part of it: a copy without one is of no use.
    const JournalEntry& e = record.entry;
    const std::uint64_t flags = (e.out ? 1u : 0u) | (e.may_have_run ? 2u : 0u) | (record.has_body ? 4u : 0u);
    const std::uint64_t one[] = {stream, e.attempts, flags,
                                 e.verdict ? static_cast<std::uint64_t>(*e.verdict) : 0};
    std::uint64_t& digest = digests[range_of(stream)];
    digest = XXH3_64bits_withSeed(one, sizeof one, digest);
  }
  return digests;
}

void Copy::drop(std::map<StreamId, Record>::iterator it) {
  bytes_ -= bytes_of(it->second);
  held_.erase(it);
}

void Copy::join_in(const Record& record) {
  const auto [it, fresh] = held_.try_emplace(record.stream, record);
  if (fresh) {
    bytes_ += bytes_of(it->second);
  } else {
    const std::size_t before = bytes_of(it->second);
    join(it->second, record);
    bytes_ += bytes_of(it->second) - before;
  }
  // An end is final, and the owner tells nothing of the stream behind it on this way: nothing has to be kept.
  if (it->second.ended) drop(it);
}

bool Copy::take(const Records& records) {
  if (records.upto.token < position_.token) return false;
  for (const Record& record : records.records) {
    // Guards against what comes twice: the stream may have ended since, and be forgotten.
    if (record.version > position_) join_in(record);
  }
  position_ = std::max(position_, records.upto);
  return true;
}

bool Copy::take(const Range& range, Version as_of) {
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
      drop(each);
  }
  for (const Record& record : range.records) join_in(record);
  return true;
}

}  // namespace fennellane::replica
