// What becomes of a request at the door, in more words than its client hears: for those who ask later why.
#pragma once

#include <cstdint>

namespace fennellane {

enum class Door : std::uint8_t {
  taken,
  repeated,   // the id is held already, or ended just now
  full,       // as many messages are held as may be
  unnoticed,  // as many ended messages wait for their notice to be taken
  journal_full,
  too_early,  // no list of hosts yet
  unknown,    // no such destination
  left,       // its client had gone
  malformed,
  other,  // /up and the like
  shed,   // turned away before work was put into it
};
constexpr std::size_t kDoors = 11;

// How a client's connection ended.
enum class Parting : std::uint8_t {
  by_client,   // closed, or broke
  idle,        // for too long
  unfinished,  // half a request, for too long
  unread,      // its answer, for too long
  made_way,    // for another
  finished,    // after an answer that ends it
};
constexpr std::size_t kPartings = 6;

}  // namespace fennellane
