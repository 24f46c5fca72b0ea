// Serialization of the forwarder's state, for a process that takes over from another. Lists fields and
// decides nothing. Included once, at the end of delivery_policy.cpp, which defines these types. Points in
// time are stored unchanged, since both processes read the same clock.
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

// Incremented with each change to the fields listed below: bytes of another version are rejected.
constexpr std::uint32_t kSnapshotVersion = 4;

template <class A>
void serialize(A& a, EndpointEntry& e) {
  a(e.endpoint, e.destination, e.zone, e.kind, e.rate, e.condition);
}
template <class A>
void serialize(A& a, MessageArrived& m) {
  a(m.id, m.message_class, m.tenant, m.destination, m.key, m.time_left, m.attempts, m.may_have_run,
    m.uncertain_age, m.uncertain_zone);
}

namespace {

template <class A>
void serialize(A& a, Health& h) {
  a(h.consecutive_failures, h.consecutive_refusals, h.refused_since, h.failure_share, h.uncertain_share,
    h.unhealthy, h.earned_calls, h.backoff_until, h.last_success, h.recovering_since, h.failing_since,
    h.last_probe_call, h.probe_call_turns, h.recent_calls);
}
template <class A>
void serialize(A& a, Route& r) {
  a(r.rate, r.listed, r.arrivals, r.health, r.in_flight, r.window, r.last_window_cut, r.last_pace_cut,
    r.wait_until, r.reported_limit, r.pace_share, r.burst_seconds, r.tokens, r.tokens_updated_at,
    r.last_refusal, r.next_turn, r.turn_spacing, r.answer_mean, r.answer_deviation);
}
template <class A>
void serialize(A& a, Endpoint& e) {  // without its route
  a(e.entry, e.health, e.in_flight, e.connections, e.max_in_flight, e.connections_full_at,
    e.connection_retry_interval, e.last_used, e.tie_breaker);
}
template <class A>
void serialize(A& a, Message& m) {  // without its class settings
  a(m.arrival, m.first_submitted, m.deadline, m.not_before, m.ended, m.attempts, m.may_have_run,
    m.uncertain_since, m.uncertain_zone, m.sent_at, m.call_id);
}
template <class A>
void serialize(A& a, Call& c) {
  a(c.endpoint, c.sent_at, c.messages, c.pending, c.unsafe, c.cancelled);
}
template <class A>
void serialize(A& a, ConnectionLoss& r) {
  a(r.calls, r.lost);
}
template <class A>
void serialize(A& a, KeyQueue& k) {
  a(k.messages, k.quiet_until);
}
template <class A>
void serialize(A& a, Destination& d) {  // without its waiting messages
  a(d.next_check, d.endpoints);
}

}  // namespace

template <class A>
void Forwarder::Policy::serialize_state(A& a) {
  constexpr bool loading = A::is_loading::value;
  std::stringstream random;
  if (!loading) random << random_;
  std::string random_text = random.str();
  std::map<DestinationId, std::vector<MessageId>> waiting;  // in order
  for (const auto& [id, d] : destinations_) {
    for (const Message* m : d.waiting) waiting[id].push_back(m->arrival.id);
  }
  a(random_text, now_, started_, routes_, endpoints_, destinations_, waiting_destinations_, messages_, calls_,
    keys_, removed_, quiet_keys_, last_call_id_, idle_connection_losses_, new_connection_losses_,
    last_connection_loss_, scarce_until_, unanswered_share_, unanswered_share_at_, usual_answer_log_,
    arrivals_, listed_rate_, log_messages_, list_failures_, next_list_request_, next_wake_, timer_at_,
    shutdown_at_, waiting);
  if constexpr (loading) {
    std::istringstream(random_text) >> random_;
    for (auto& [id, endpoint] : endpoints_) {
      const EndpointEntry& entry = endpoint.entry;
      endpoint.route =
          &routes_.at({entry.destination, has_separate_route(entry) ? std::optional(id) : std::nullopt});
    }
    // Throws std::out_of_range if the settings no longer have the class of a message.
    for (auto& [id, message] : messages_)
      message.class_settings = &s_.classes.at(message.arrival.message_class);
    for (const auto& [id, ids] : waiting) {
      for (const MessageId message : ids) destinations_.at(id).waiting.push_back(&messages_.at(message));
    }
  }
}

std::string Forwarder::save() const {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(kSnapshotVersion);
  policy_->serialize_state(archive);
  return out.str();
}

Forwarder Forwarder::load(const Settings& settings, std::string_view bytes) {
  Forwarder forwarder(settings);
  try {
    std::istringstream in{std::string(bytes)};
    cereal::BinaryInputArchive archive(in);
    std::uint32_t version = 0;
    archive(version);
    if (version != kSnapshotVersion)
      throw SnapshotError("the module's memory is of version " + std::to_string(version));
    forwarder.policy_->serialize_state(archive);
  } catch (const cereal::Exception& e) {
    throw SnapshotError(std::string("the module's memory cannot be read: ") + e.what());
  } catch (const std::out_of_range&) {
    throw SnapshotError("the module's memory does not fit the settings");
  }
  return forwarder;
}

}  // namespace starlinghook
