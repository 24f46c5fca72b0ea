// What the module remembers, as bytes, for a process that takes over from another. This lists fields and
// decides nothing. Included once, at the end of delivery_policy.cpp, whose types these are. Points in time
// stay as they are: both processes read one clock.
#pragma once

#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace starlinghook {

// Raised with each change of what is listed below: another version's bytes are not read.
constexpr std::uint32_t kMemoryVersion = 4;

template <class A>
void serialize(A& a, EndpointEntry& e) {
  a(e.endpoint, e.destination, e.zone, e.kind, e.rate, e.condition);
}
template <class A>
void serialize(A& a, MessageArrived& m) {
  a(m.id, m.message_class, m.tenant, m.destination, m.key, m.time_left, m.attempts, m.may_have_run,
    m.doubt_age, m.doubt_zone);
}

namespace {

template <class A>
void serialize(A& a, Health& h) {
  a(h.fail_run, h.full_run, h.full_since, h.fail_share, h.doubt_share, h.sick, h.earned, h.rest_until,
    h.last_ok, h.ok_since, h.failing_since, h.last_trial, h.trial_turns, h.sends);
}
template <class A>
void serialize(A& a, Route& r) {
  a(r.rate, r.listed, r.arrivals, r.health, r.in_flight, r.window, r.last_cut, r.last_slowed, r.wait_until,
    r.told, r.pace_share, r.burst_seconds, r.tokens, r.tokens_at, r.refused_at, r.turn, r.spread,
    r.answer_mean, r.answer_spread);
}
template <class A>
void serialize(A& a, Endpoint& e) {  // but for its route
  a(e.entry, e.health, e.out, e.connections, e.most_out, e.crowded_at, e.crowded_gap, e.last_used,
    e.tie_breaker);
}
template <class A>
void serialize(A& a, Message& m) {  // but for its rules
  a(m.facts, m.handed_in, m.deadline, m.not_before, m.ended, m.attempts, m.may_have_run, m.doubt_since,
    m.doubt_zone, m.sent_at, m.call);
}
template <class A>
void serialize(A& a, Call& c) {
  a(c.endpoint, c.sent_at, c.members, c.outstanding, c.unsafe, c.cancelled);
}
template <class A>
void serialize(A& a, Risk& r) {
  a(r.calls, r.lost);
}
template <class A>
void serialize(A& a, KeyLine& k) {
  a(k.line, k.quiet_until);
}
template <class A>
void serialize(A& a, Destination& d) {  // but for what waits
  a(d.look_at, d.endpoints);
}

}  // namespace

template <class A>
void Forwarder::Policy::remember(A& a) {
  constexpr bool loading = A::is_loading::value;
  std::stringstream random;
  if (!loading) random << random_;
  std::string random_text = random.str();
  std::map<DestinationId, std::vector<MessageId>> waiting;  // in their order
  for (const auto& [id, d] : destinations_) {
    for (const Message* m : d.waiting) waiting[id].push_back(m->facts.id);
  }
  a(random_text, now_, start_, routes_, endpoints_, destinations_, busy_, messages_, calls_, keys_, gone_,
    quiet_, last_call_, kept_risk_, new_risk_, risk_seen_, scarce_until_, lost_share_, lost_at_,
    usual_answer_, arrivals_, listed_rate_, log_lines_, list_failures_, next_ask_, due_, timer_at_, stop_at_,
    waiting);
  if constexpr (loading) {
    std::istringstream(random_text) >> random_;
    for (auto& [id, endpoint] : endpoints_) {
      const EndpointEntry& entry = endpoint.entry;
      endpoint.route =
          &routes_.at({entry.destination, routes_apart(entry) ? std::optional(id) : std::nullopt});
    }
    // Guards against settings that have lost a message's class since.
    for (auto& [id, message] : messages_) message.rules = &s_.classes.at(message.facts.message_class);
    for (const auto& [id, ids] : waiting) {
      for (const MessageId message : ids) destinations_.at(id).waiting.push_back(&messages_.at(message));
    }
  }
}

std::string Forwarder::save() const {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(kMemoryVersion);
  policy_->remember(archive);
  return out.str();
}

Forwarder Forwarder::load(const Settings& settings, std::string_view bytes) {
  Forwarder forwarder(settings);
  try {
    std::istringstream in{std::string(bytes)};
    cereal::BinaryInputArchive archive(in);
    std::uint32_t version = 0;
    archive(version);
    if (version != kMemoryVersion)
      throw MemoryError("the module's memory is of version " + std::to_string(version));
    forwarder.policy_->remember(archive);
  } catch (const cereal::Exception& e) {
    throw MemoryError(std::string("the module's memory cannot be read: ") + e.what());
  } catch (const std::out_of_range&) {
    throw MemoryError("the module's memory does not fit the settings");
  }
  return forwarder;
}

}  // namespace starlinghook
