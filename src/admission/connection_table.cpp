#include "connection_table.hpp"

#include <initializer_list>

namespace fennellane::admission {

void ConnectionTable::remove_from_order(ClientId id, const Client& client) {
  if (client.state != State::busy) by_age(client.state).erase({client.since, id});
}
void ConnectionTable::set_state(ClientId id, Client& client, State to, Time since) {
  remove_from_order(id, client);
  client.state = to;
  client.since = since;
  if (to != State::busy) by_age(to).emplace(since, id);
}

void ConnectionTable::add(ClientId id, Time now) {
  const auto [it, fresh] = clients_.emplace(id, Client{State::accepted, now, false});
  if (fresh) by_age(State::accepted).emplace(now, id);
}

void ConnectionTable::request_started(ClientId id, Time now) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // Guards against one that dribbles: its first request counts from when it was accepted, a later one from
  // its first byte.
  const State standing = it->second.state;
  if (standing == State::accepted || standing == State::partial) return;
  set_state(id, it->second, State::partial, now);
}

void ConnectionTable::mark_busy(ClientId id) {
  if (const auto it = clients_.find(id); it != clients_.end()) {
    set_state(id, it->second, State::busy, it->second.since);
  }
}

void ConnectionTable::mark_idle(ClientId id, Time now, bool handed_in) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (handed_in && !client.has_submitted) {
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
  // The longest as it is of these, if it has been so for long enough.
  const auto oldest = [&](std::initializer_list<State> of, Time age) -> std::optional<ClientId> {
    std::optional<std::pair<Time, ClientId>> found;
    for (const State standing : of) {
      const ByAge& all = by_age(standing);
      if (all.empty() || all.begin()->first + age > now) continue;
      if (!found || *all.begin() < *found) found = *all.begin();
    }
    if (!found) return std::nullopt;
    return found->second;
  };
  if (const auto id = oldest({State::closing}, Time(0))) return id;
  if (const auto id = oldest({State::accepted, State::partial}, limits_.min_silence)) return id;
  if (const auto id = oldest({State::idle_without_message}, limits_.min_silence)) return id;
  if (const auto id = oldest({State::idle_submitter}, limits_.min_silence)) return id;
  return oldest({State::accepted}, limits_.min_age);
}

std::optional<ClientId> ConnectionTable::surplus_idle() const {
  const ByAge& idle = by_age(State::idle_submitter);
  if (submitting_ <= limits_.max_submitting || idle.empty()) return std::nullopt;
  return idle.begin()->second;
}

}  // namespace fennellane::admission
