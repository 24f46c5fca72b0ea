// One message's state as it is copied to peers, and the rule for copies that differ. Values, without input,
// output or clock. See docs/replication.md.
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
using Sequence = std::uint64_t;  // of an owner's records, from 1 on under each of its tokens

// Which of two records is newer: first by the token of the owner that wrote it, then by its sequence.
struct Version {
  Token token = 0;
  Sequence sequence = 0;
  auto operator<=>(const Version&) const = default;
};

// What is copied of a message, whole with each record but for its body, which never changes: a record that is
// lost, comes twice or late does no harm to what a later one says.
struct Record {
  StreamId stream = 0;  // of the relay that took it on, whoever owns it now
  Version version;
  bool ended = false;
  JournalEntry entry;     // without a body where `has_body` is not set
  bool has_body = false;  // of the record that tells of the taking on, and of a catch-up
};

// The rule, a join: it does not matter in which order, how often or by which way records come.
// - An end is final: it beats whatever else is told of the message, at any version.
// - Else the higher version says what is so.
// - A body that one of them has is kept.
// - Of two ends, or two records of one version, the second changes nothing.
// Returns whether `known` has changed.
bool join(Record& known, const Record& other);

// What a relay that takes over makes of a message: an attempt that was out may have run. Nothing: it has
// ended, or has no body.
std::optional<JournalEntry> entry_for_takeover(const Record& record);

}  // namespace fennellane::replica
