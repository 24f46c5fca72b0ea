#include "record.hpp"

#include <utility>

namespace fennellane::replica {

bool join(Record& known, const Record& other) {
  bool changed = false;
  const auto keep_body = [](Record& to, Body body) {
    to.entry.body = std::move(body);
    to.has_body = true;
  };
  if (known.ended || (!other.ended && other.version <= known.version)) {
    // Older, or of no more account; only a body may be news.
    if (!known.ended && !known.has_body && other.has_body && !other.ended) {
      keep_body(known, other.entry.body);
      changed = true;
    }
    // Guards the order of ends among copies: the highest version that told one.
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
    keep_body(known, body);
  }
  return true;
}

std::optional<JournalEntry> entry_for_takeover(const Record& record) {
  if (record.ended || !record.has_body) return std::nullopt;
  return record.entry;
}

}  // namespace fennellane::replica
