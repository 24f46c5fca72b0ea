// Reconstructs from a flight record the history of each message: its calls, how it ended and why. Uses
// neither files nor a clock.
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

// Microseconds since 1970.
using Timestamp = std::int64_t;

// Bytes from a host that were no answer to a call.
struct StrayBytes {
  Timestamp at = 0;
  std::uint16_t status = 0;  // of a complete answer; 0 = none
  StrayPlace place{};
};

struct CallHistory {
  std::string host;  // address, shortened by short_name
  Timestamp started = 0;
  std::optional<Timestamp> ended;  // none: in flight, or the end is not in the record
  starlinghook::Outcome outcome{};
  std::uint32_t retry_after_ms = 0;
  std::uint32_t connection = 0;              // 0: no byte of the call was written
  std::uint16_t connection_call_number = 0;  // among the calls of its connection
  bool close_requested = false;
  std::vector<StrayBytes> strays;
};

// A request of a client and, if it was accepted, its message; or a message restored from the journal.
struct MessageHistory {
  std::string id;            // X-Call-Id, shortened by short_name; empty: the beginning is not in the record
  std::uint64_t stream = 0;  // 0: not accepted
  std::uint16_t message_class = 0;
  std::uint32_t tenant = 0;
  std::uint32_t destination = 0;
  std::uint32_t time_left_ms = 0;              // until its deadline, when it was submitted or restored
  Timestamp started = 0;                       // when it was submitted or restored
  bool restored = false;                       // from the journal of a previous process
  std::optional<std::uint32_t> read_delay_us;  // from the arrival of the last byte to the answer
  std::optional<AdmissionOutcome> admission;
  std::vector<CallHistory> calls;
  std::optional<Timestamp> given_up;
  Verdict verdict{};
  starlinghook::GiveUpReason give_up_reason{};
  std::optional<Timestamp> ended;
  End end{};
};

// The final result of a request or message, or its present state.
enum class MessageResult {
  delivered_in_time,  // within its class's aim, counted from the client's first submission
  delivered_late,     // after it
  withdrawn,          // ended elsewhere
  refused_admission,
  given_up_capacity,  // in favour of other messages
  given_up_deadline,
  given_up_attempts,
  given_up_uncertain,  // may have run and must not be repeated
  answered_late,       // the host's answer came after the deadline
  class_removed,       // given up since its class is no longer configured
  no_message,          // a request that submitted none, such as /up or a duplicate
  held,
};
const char* result_text(MessageResult result);
const char* admission_text(AdmissionOutcome admission);

struct Second {
  Timestamp at = 0;  // when it begins
  std::uint32_t submitted = 0, accepted = 0, refused = 0, given_up = 0, in_time = 0, late = 0;
  std::uint32_t read_late = 0;  // requests answered more than kLateReadUs after their last byte arrived
  std::uint32_t no_place = 0;   // clients that could not be accepted at once
  // At the heartbeat; the maximum if there are several.
  std::uint32_t held = 0, calls = 0, clients = 0, loop_delay_ms = 0;
  std::string events;  // of the process, such as its start and reloads
};
constexpr std::uint32_t kLateReadUs = 100'000;

class Account {
 public:
  explicit Account(const Contents& contents);

  const Legend& legend() const { return legend_; }
  const std::vector<MessageHistory>& messages() const { return messages_; }
  const std::vector<Second>& seconds() const { return seconds_; }
  // All with this X-Call-Id, in the order of the record: a request may be sent again, the next process may
  // restore the message, and clients may use one id for several messages.
  std::vector<const MessageHistory*> find(const std::string& id) const;
  MessageResult result(const MessageHistory& message) const;
  // Number of calls to a destination that ended in the interval, by outcome.
  std::map<starlinghook::Outcome, std::size_t> outcomes(std::uint32_t destination, Timestamp from,
                                                        Timestamp to) const;
  // Number of clients' connections that ended, by reason.
  const std::map<CloseReason, std::size_t>& close_reasons() const { return close_reasons_; }
  // The same for connections to hosts, and the number of stray bytes' occurrences by address.
  const std::map<ConnectionEnd, std::size_t>& connection_ends() const { return connection_ends_; }
  const std::map<std::string, std::size_t>& strays() const { return strays_; }

 private:
  void add(const Entry& e);
  void add_request(const Entry& e);
  void add_answer(Second& s, const Entry& e);
  void add_restored(const Entry& e);
  void add_call_end(const Entry& e);
  void add_give_up(const Entry& e);
  void add_end(Second& s, const Entry& e);
  void add_call_connection(const Entry& e);
  void add_stray(const Entry& e);
  // Of the entry's stream; added if it is not known.
  MessageHistory& history_of(const Entry& e);
  Second& second(Timestamp at);

  Legend legend_;
  std::vector<MessageHistory> messages_;
  std::vector<Second> seconds_;
  std::unordered_map<std::uint64_t, std::size_t> pending_requests_;  // by connection
  std::unordered_map<std::uint64_t, std::size_t> streams_;
  std::map<CloseReason, std::size_t> close_reasons_;
  std::map<ConnectionEnd, std::size_t> connection_ends_;
  std::map<std::string, std::size_t> strays_;
};

}  // namespace fennellane::record
