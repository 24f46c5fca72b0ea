// What a flight record tells: the life of every message in it, and how each ended and why. Neither files nor
// a clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission_outcome.hpp"
#include "counters.hpp"
#include "entry.hpp"
#include "legend.hpp"
#include "record_file.hpp"
#include "starlinghook/delivery.hpp"
#include "stream.hpp"

namespace fennellane::record {

// Microseconds since 1970, as all times here.
using Moment = std::int64_t;

// Bytes that answered no call.
struct StraySeen {
  Moment at = 0;
  std::uint16_t status = 0;  // of a whole answer
  StrayPlace place{};
};

struct CallSeen {
  std::string host;  // its address, as short_name keeps it
  Moment from = 0;
  std::optional<Moment> to;  // none: still out, or its end is not in the record
  starlinghook::Outcome outcome{};
  std::uint32_t told_wait_ms = 0;
  std::uint32_t connection = 0;  // 0: none of its bytes went out
  std::uint16_t nth = 0;         // call of its connection
  bool asks_close = false;
  std::vector<StraySeen> strays;
};

struct Life {
  std::string name;  // of the message, as short_name keeps it; empty: its beginning is not in the record
  std::uint64_t stream = 0;  // 0: never taken on
  std::uint16_t message_class = 0;
  std::uint32_t tenant = 0;
  std::uint32_t destination = 0;
  std::uint32_t left_ms = 0;  // of its time, when it was asked or read back
  Moment began = 0;
  bool restored = false;                   // from the journal, in an earlier life of the relay
  std::optional<std::uint32_t> waited_us;  // its last byte, before it was read
  std::optional<AdmissionOutcome> admission;
  std::vector<CallSeen> calls;
  std::optional<Moment> given_up;
  Verdict verdict{};
  starlinghook::GiveUpReason why{};
  std::optional<Moment> ended;
  End end{};
};

// In one word how it stands with a life.
enum class Fate {
  in_time,    // delivered within its class's aim, counted from when its client handed it in first
  late,       // delivered after it
  withdrawn,  // over elsewhere
  refused_admission,
  made_room,  // given up for others
  no_time,
  no_attempt,     // all used up
  doubtful,       // may have run and must not be repeated
  answered_late,  // by a host, when its time was up
  lost_class,     // given up since the configuration has lost its class
  answered,       // no message: /up, an id that is held already
  held,
};
const char* fate_text(Fate fate);
const char* admission_text(AdmissionOutcome admission);

struct Second {
  Moment at = 0;  // its beginning
  std::uint32_t asked = 0, taken = 0, refused = 0, given_up = 0, in_time = 0, late = 0;
  std::uint32_t accepted_late = 0;  // read more than kSlowToRead after their last byte
  std::uint32_t no_place = 0;       // clients that could not be accepted at once
  // At its beat; the most where there are several.
  std::uint32_t held = 0, calls = 0, clients = 0, late_loop_ms = 0;
  std::string marks;  // began, ready, stopping, reloaded
};
constexpr std::uint32_t kSlowToReadUs = 100'000;

class Account {
 public:
  explicit Account(const Contents& contents);

  const Legend& legend() const { return legend_; }
  const std::vector<Life>& lives() const { return lives_; }
  const std::vector<Second>& seconds() const { return seconds_; }
  // All under that name, in the order of the record: a request may be sent again, a message be read back by
  // the next process, and clients may use one id for several messages.
  std::vector<const Life*> find(const std::string& name) const;
  Fate fate(const Life& life) const;
  // Calls to a destination that ended within a span, by outcome.
  std::map<starlinghook::Outcome, std::size_t> outcomes(std::uint32_t destination, Moment from,
                                                        Moment to) const;
  // How clients' connections ended.
  const std::map<CloseReason, std::size_t>& close_reasons() const { return close_reasons_; }
  // How those to hosts ended, and how often bytes came from each address that answered no call.
  const std::map<ConnectionEnd, std::size_t>& connection_ends() const { return connection_ends_; }
  const std::map<std::string, std::size_t>& strays() const { return strays_; }

 private:
  void take(const Entry& e);
  void take_carried(const Entry& e);
  void take_stray(const Entry& e);
  Life& by_stream(const Entry& e);
  Second& second(Moment at);

  Legend legend_;
  std::vector<Life> lives_;
  std::vector<Second> seconds_;
  std::unordered_map<std::uint64_t, std::size_t> asking_;  // by connection
  std::unordered_map<std::uint64_t, std::size_t> streams_;
  std::map<CloseReason, std::size_t> close_reasons_;
  std::map<ConnectionEnd, std::size_t> connection_ends_;
  std::map<std::string, std::size_t> strays_;
};

}  // namespace fennellane::record
