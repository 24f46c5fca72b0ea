// The histories of a run of the fault laboratory, as its clients, partners and platform wrote them, and what
// a right relay never makes of them.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fennellane::harness {

using TimePoint = std::chrono::steady_clock::time_point;

// What a client saw of a message.
enum class Seen { taken, refused, failed, nothing };

struct Message {
  std::string id, message_class, body;
  Seen seen = Seen::nothing;
  TimePoint due{};            // its time is up
  bool may_vanish = false;    // what was taken on stood on a disk that has been replaced
  TimePoint excused_until{};  // its relay could not end it before this
};

// Clients may use one id for different messages.
using MessageKey = std::pair<std::string, std::string>;  // id and body
inline MessageKey key_of(const Message& message) { return {message.id, message.body}; }

// A message at a partner.
struct Arrival {
  std::size_t ran = 0;
  bool delivered = false;
  TimePoint delivered_at{};  // first
};
using Arrivals = std::map<MessageKey, Arrival>;
using Notices = std::map<std::string, TimePoint>;  // by id: when the platform first took one

struct History {
  std::map<MessageKey, Message> messages;
  Arrivals arrivals;
  Notices notices;

  void add(const Arrivals& of_one_partner);
  bool has_end(const Message& message) const;
  bool all_taken_have_ends() const;
};

struct FaultReport {
  std::size_t handed_in = 0, taken = 0, refused = 0, unanswered = 0, delivered = 0, noticed = 0;
  std::vector<std::string> late;        // ends that came later than the protocol allows
  std::vector<std::string> violations;  // none: the run was right
  std::string log;                      // the relays', kept where there are any
};

// Adds what the history shows to the report.
void check(const History& history, FaultReport& report);
// As if a message that ran had run again, and others had come back in another form, been refused or been
// taken on without an end, one of these under the id of a message that was delivered.
void plant_flaws(History& history);

}  // namespace fennellane::harness
