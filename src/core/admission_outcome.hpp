// How the admission of a request and the connection of a client ended, in more detail than the client is
// told; kept in the flight record.
#pragma once

#include <cstdint>

namespace fennellane {

enum class AdmissionOutcome : std::uint8_t {
  accepted,
  duplicate,     // the message is held, or ended recently
  held_limit,    // the limit on held messages is reached
  notice_limit,  // the limit on ended messages with an unaccepted notice is reached
  journal_full,
  no_host_list,         // no host list has been received yet
  unknown_destination,  // no such destination
  client_gone,          // the client had closed its connection
  malformed,
  other,            // requests that submit no message, such as /up
  load_shed,        // rejected before any work was done for it
  storage_failing,  // the journal cannot be written
  id_conflict,      // another message has the id, which is held or ended recently
};
constexpr std::size_t kAdmissionOutcomeCount = 13;

// How a client's connection ended.
enum class CloseReason : std::uint8_t {
  client_closed,    // closed or broken by the client
  idle_timeout,     // idle for too long
  request_timeout,  // a request was incomplete for too long
  answer_timeout,   // the client did not read its answer in time
  evicted,          // closed to admit another connection
  answer_sent,      // closed after its last answer
};
constexpr std::size_t kCloseReasonCount = 6;

}  // namespace fennellane
