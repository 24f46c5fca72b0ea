// How the admission of a request ended, and how a connection of a client did: in more detail than the client
// is told, for the flight record.
#pragma once

#include <cstdint>

namespace fennellane {

enum class AdmissionOutcome : std::uint8_t {
  accepted,
  duplicate,     // the id is held already, or ended just now
  held_limit,    // as many messages are held as may be
  notice_limit,  // as many ended messages wait for their notice to be taken
  journal_full,
  no_host_list,         // no list of hosts yet
  unknown_destination,  // no such destination
  client_gone,          // its client had gone
  malformed,
  other,            // /up and the like
  load_shed,        // turned away before work was put into it
  storage_failing,  // the journal cannot be written
};
constexpr std::size_t kAdmissionOutcomeCount = 12;

// How a connection of a client ended.
enum class CloseReason : std::uint8_t {
  client_closed,    // closed, or broke
  idle_timeout,     // for too long
  request_timeout,  // half a request, for too long
  answer_timeout,   // its answer, for too long
  evicted,          // for another
  answer_sent,      // after an answer that ends it
};
constexpr std::size_t kCloseReasonCount = 6;

}  // namespace fennellane
