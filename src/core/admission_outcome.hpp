// How the admission of a request ended, and how a connection of a client did: in more detail than the client
// is told, for the flight record.
#pragma once

#include <cstdint>

namespace fennellane {

enum class AdmissionOutcome : std::uint8_t {
  taken,
  repeated,   // the id is held already, or ended just now
  full,       // as many messages are held as may be
  unnoticed,  // as many ended messages wait for their notice to be taken
  journal_full,
  too_early,  // no list of hosts yet
  unknown,    // no such destination
  left,       // its client had gone
  malformed,
  other,    // /up and the like
  shed,     // turned away before work was put into it
  storage,  // the journal cannot be written
};
constexpr std::size_t kAdmissionOutcomes = 12;

// How a connection of a client ended.
enum class CloseReason : std::uint8_t {
  by_client,   // closed, or broke
  idle,        // for too long
  unfinished,  // half a request, for too long
  unread,      // its answer, for too long
  made_way,    // for another
  finished,    // after an answer that ends it
};
constexpr std::size_t kCloseReasons = 6;

}  // namespace fennellane
