// What two relays say to each other about copies. The owner of messages connects to those that hold its
// copies.
//
//   owner                                   holder
//   Hello (its epoch)                    ->
//                                        <- Welcome (what it has), or Refuse
//   Records, from where it stands        ->
//   or Digests, then Range for each that ->
//   differs
//                                        <- Confirm (up to where; and a promise), at once and each `beat`
//   Beat, each `beat`                    ->
//
// One that has come back asks a relay that has taken its messages over:
//   AskTaken                             -> <- Taken
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "record.hpp"

namespace fennellane::replica {

// Streams by their number fall into so many ranges, each with a digest of its own.
inline constexpr std::size_t kRanges = 64;
inline std::size_t range_of(StreamId stream) { return static_cast<std::size_t>(stream % kRanges); }
using Digests = std::array<std::uint64_t, kRanges>;

struct Hello {
  std::string relay;
  Token epoch = 0;
};
struct HelloAccepted {
  std::string relay;
  Version position;  // the newest of this owner's records, all before it included; 0.0: nothing
};
struct HelloRefused {  // no copy is kept for this owner
  std::string reason;
};
struct Records {
  Version up_to;  // with these, all up to here is known
  std::vector<Record> records;
  std::uint64_t probe = 0;  // grows with each; a Confirm names the newest it has seen
};
struct DigestsRequested {};  // from the owner: what does your copy look like?
struct DigestsReported {
  Digests digests{};
};
struct Range {  // all that the owner holds in this range; what is not in it has ended
  std::uint32_t range = 0;
  std::vector<Record> records;
};
struct Confirm {
  Version up_to;
  std::uint64_t probe = 0;
  // From hearing that probe on this relay does not take over for `promise`; 0: it promises nothing any more.
  Time promise{};
};
struct TakeoverQuery {  // by one that has come back
  std::string relay;
  Token epoch = 0;  // under which its messages were taken over
};
struct TakeoverReport {
  bool known = false;  // false: this relay has taken nothing over under that epoch
  std::vector<StreamId> streams;
};
using Message = std::variant<Hello, HelloAccepted, HelloRefused, Records, DigestsRequested, DigestsReported,
                             Range, Confirm, TakeoverQuery, TakeoverReport>;

}  // namespace fennellane::replica
