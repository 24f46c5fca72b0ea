// The state of one message as copied to peers, and the rule for merging different copies. Pure values: no I/O
// and no clock. See docs/replication.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "lease.hpp"
#include "stream.hpp"

namespace fennellane::replica {

using lease::Time;
using lease::Token;
using Sequence = std::uint64_t;  // of an owner's records, starting at 1 under each of its tokens

// Orders records by age: first by the token of the owner that wrote it, then by sequence.
struct Version {
  Token token = 0;
  Sequence sequence = 0;
  auto operator<=>(const Version&) const = default;
};

// The copied state of a message. Each record contains all of it except the body, which never changes, so a
// lost, duplicate or late record does not affect later ones.
struct Record {
  StreamId stream = 0;  // numbered by the relay that accepted it, whichever relay owns it now
  Version version;
  bool ended = false;
  JournalEntry entry;     // without a body unless `has_body`
  bool has_body = false;  // set in the record of the acceptance and in a catch-up
};

// The merge rule, a join: the order, number and path of records do not matter.
// - An end is final: it wins over any other record of the message, at any version.
// - Otherwise the higher version wins.
// - A body that either of them has is kept.
// - Of two ends, or two records of one version, the second changes nothing.
// Returns whether `known` has changed.
bool join(Record& known, const Record& other);

// The entry with which a relay takes over a message: an attempt in flight may have run. Nothing if it has
// ended or has no body.
std::optional<JournalEntry> entry_for_takeover(const Record& record);

}  // namespace fennellane::replica
