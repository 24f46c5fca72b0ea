// The messages between two relays about copies. The owner of messages connects to the relays that hold their
// copies.
//
// clang-format off
//   owner                                    holder
//   Hello (its epoch)                     ->
//                                         <- HelloAccepted (the position of its copies), or HelloRefused
//   Records, from that position on        ->
//   or DigestsRequested                   ->
//                                         <- DigestsReported
//   and a Range for each that differs     ->
//                                         <- Confirm (up to a version, with a promise), at once and with each
//                                            heartbeat
//   heartbeat, each heartbeat interval    ->
//
// A relay that has returned asks a relay that has taken its messages over:
//   TakeoverQuery                         -> <- TakeoverReport
// clang-format on
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "record.hpp"

namespace fennellane::replica {

// Streams are divided by their number into this many ranges, each with its own digest.
inline constexpr std::size_t kRanges = 64;
inline std::size_t range_of(StreamId stream) { return static_cast<std::size_t>(stream % kRanges); }
using Digests = std::array<std::uint64_t, kRanges>;

struct Hello {
  std::string relay;
  Token epoch = 0;
};
struct HelloAccepted {
  std::string relay;
  Version position;  // the newest of this owner's records, including all before it; 0.0: none
};
struct HelloRefused {  // no copies are kept for this owner
  std::string reason;
};
struct Records {
  Version up_to;  // after these, all records up to this version are known
  std::vector<Record> records;
  std::uint64_t probe = 0;  // increases with each message; a Confirm names the newest one received
};
struct DigestsRequested {};  // sent by the owner
struct DigestsReported {
  Digests digests{};
};
struct Range {  // all that the owner holds in this range; streams missing from it have ended
  std::uint32_t range = 0;
  std::vector<Record> records;
};
struct Confirm {
  Version up_to;
  std::uint64_t probe = 0;
  // From the receipt of that probe on, this relay does not take over for `promise`; 0: no promise.
  Time promise{};
};
struct TakeoverQuery {  // sent by a relay that has returned
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
