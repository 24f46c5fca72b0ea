#include "record.hpp"

#include <utility>

namespace fennellane::replica {

bool join(Record& known, const Record& other) {
  bool changed = false;
  const auto set_body = [](Record& record, Body body) {
    record.entry.body = std::move(body);
    record.has_body = true;
  };
  if (known.ended || (!other.ended && other.version <= known.version)) {
    // Older, or after the end; only a body can be new.
    if (!known.ended && !known.has_body && other.has_body && !other.ended) {
      set_body(known, other.entry.body);
      changed = true;
    }
    // Keep the highest version of an end, so that all copies order ends alike.
    if (known.ended && other.ended && other.version > known.version) known.version = other.version;
    return changed;
  }
  const Body body = known.entry.body;
  const bool had_body = known.has_body;
  known = other;
  if (known.ended) {
    known.entry.body = JournalEntry().body;
    known.has_body = false;
  } else if (!known.has_body && had_body) {
    set_body(known, body);
  }
  return true;
}

std::optional<JournalEntry> entry_for_takeover(const Record& record) {
  if (record.ended || !record.has_body) return std::nullopt;
  return record.entry;
}

}  // namespace fennellane::replica
