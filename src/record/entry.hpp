// One line of the flight record: what happened, when, and to whom. The same in memory and in the file, so
// that a process that is killed leaves what it had noted.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace fennellane::record {

enum class Kind : std::uint16_t {
  none = 0,
  began,      // a process; n: its id
  ready,      // takes messages on
  signalled,  // code: the signal
  beat,       // once a second; code: the loop's longest delay in ms; n: messages held, calls out, clients
  load,       // with a beat; n: CPU in us since the last one, most resident KiB, connections to hosts
  no_place,   // a client could not be accepted at once; n: clients
  client,     // a connection ended; subject: it; code: CloseReason; n: age in ms, requests, ms since its last
              // change
  asked,      // subject: the connection; code: the class; n: tenant, destination, ms left; name: the message
  answered,   // subject: the connection; code: the status; n: AdmissionOutcome, us from readable to answered,
              // the stream
  restored,   // subject: the stream; code: the class; n: tenant, destination, ms left; name: the message
  call,  // subject: the stream; code: the attempt; n: the host, ms until it is given up; name: its address
  call_ended,  // subject: the stream; code: the outcome; n: the attempt, ms of a told wait, ms that its
               // connection had stood idle (0: a new one)
  given_up,  // subject: the stream; code: Verdict; n: starlinghook::GiveUpReason, ms until it may come again
  ended,     // subject: the stream; code: End
  host,      // subject: the host; code: its condition; n: destination, rate in thousandths; name: its id
  storage,   // began to fail, or works again; code: the errno, or 0
  carried,   // a call's first byte is written; subject: the stream; code: which call of its connection;
             // n: the connection, 1 if it asks for its close
  stray,     // bytes that answer no call; subject: the stream that is out, or 0; code: the status of a whole
             // answer, or 0; n: the connection, StrayPlace; name: the host's address
  host_connection,  // one to a host ended; subject: it; code: ConnectionEnd; n: its calls, its age in ms;
                    // name: the host's address
};
constexpr std::uint16_t kKinds = 20;

// Where bytes that answer no call came.
enum class StrayPlace : std::uint16_t { before_first_call, resting, during_call, behind_answer };
constexpr std::size_t kStrayPlaces = 4;

// Why a connection to a host ended.
enum class ConnectionEnd : std::uint16_t {
  last_answer,  // behind the answer of its last call
  call_failed,  // its call ended without an answer that it could go on from
  by_host,      // while it rested
  stray,        // bytes came that answer no call
  idle,         // it had rested for its time
  made_way,     // for another, or is no longer wanted
};
constexpr std::size_t kConnectionEnds = 6;

enum class End : std::uint16_t { delivered, withdrawn, noticed };
constexpr std::uint16_t kEnds = 3;

constexpr std::size_t kNameSize = 24;

struct Entry {
  std::uint64_t sequence = 0;  // from 1 on; 0: none, or half of one
  std::int64_t at = 0;         // microseconds since 1970
  std::uint64_t subject = 0;
  Kind kind = Kind::none;
  std::uint16_t code = 0;
  std::array<std::uint32_t, 3> n{};
  std::array<char, kNameSize> name{};

  std::string_view name_text() const;
};
static_assert(sizeof(Entry) == 64);

// The name as an entry holds it: whole, or its beginning and a hash of all.
std::array<char, kNameSize> short_name(std::string_view name);

}  // namespace fennellane::record
