#include "connection_table.hpp"

#include <initializer_list>

namespace fennellane::admission {

void ConnectionTable::remove_from_order(ClientId id, const Client& client) {
  if (client.state != State::busy) by_age(client.state).erase({client.since, id});
}
void ConnectionTable::set_state(ClientId id, Client& client, State state, Time since) {
  remove_from_order(id, client);
  client.state = state;
  client.since = since;
  if (state != State::busy) by_age(state).emplace(since, id);
}

void ConnectionTable::add(ClientId id, Time now) {
  const auto [it, added] = clients_.emplace(id, Client{State::accepted, now, false});
  if (added) by_age(State::accepted).emplace(now, id);
}

void ConnectionTable::request_started(ClientId id, Time now) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // The first request is timed from when the connection was accepted, a later one from its first byte;
  // further bytes must not restart the time, or a client could hold a slot by sending slowly.
  const State state = it->second.state;
  if (state == State::accepted || state == State::partial) return;
  set_state(id, it->second, State::partial, now);
}

void ConnectionTable::mark_busy(ClientId id) {
  if (const auto it = clients_.find(id); it != clients_.end()) {
    set_state(id, it->second, State::busy, it->second.since);
  }
}

void ConnectionTable::mark_idle(ClientId id, Time now, bool submitted) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (submitted && !client.has_submitted) {
    client.has_submitted = true;
    ++submitting_;
  }
  set_state(id, client, client.has_submitted ? State::idle_submitter : State::idle_without_message, now);
}

void ConnectionTable::mark_closing(ClientId id, Time now) {
  if (const auto it = clients_.find(id); it != clients_.end()) set_state(id, it->second, State::closing, now);
}

void ConnectionTable::remove(ClientId id) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  remove_from_order(id, it->second);
  if (it->second.has_submitted) --submitting_;
  clients_.erase(it);
}

std::optional<ClientId> ConnectionTable::eviction_candidate(Time now) const {
  // The connection that has been longest in one of these states, if for at least `min_age`.
  const auto longest_in = [&](std::initializer_list<State> states, Time min_age) -> std::optional<ClientId> {
    std::optional<std::pair<Time, ClientId>> found;
    for (const State state : states) {
      const ByAge& connections = by_age(state);
      if (connections.empty() || connections.begin()->first + min_age > now) continue;
      if (!found || *connections.begin() < *found) found = *connections.begin();
    }
    if (!found) return std::nullopt;
    return found->second;
  };
  if (const auto id = longest_in({State::closing}, Time(0))) return id;
  if (const auto id = longest_in({State::accepted, State::partial}, limits_.min_silence)) return id;
  if (const auto id = longest_in({State::idle_without_message}, limits_.min_silence)) return id;
  if (const auto id = longest_in({State::idle_submitter}, limits_.min_silence)) return id;
  return longest_in({State::accepted}, limits_.min_age);
}

std::optional<ClientId> ConnectionTable::surplus_idle() const {
  const ByAge& idle = by_age(State::idle_submitter);
  if (submitting_ <= limits_.max_submitting || idle.empty()) return std::nullopt;
  return idle.begin()->second;
}

}  // namespace fennellane::admission
