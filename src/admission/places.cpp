#include "places.hpp"

#include <initializer_list>

namespace fennellane::admission {

void Places::take_out(ClientId id, const Client& client) {
  if (client.standing != Standing::busy) order(client.standing).erase({client.since, id});
}
void Places::move(ClientId id, Client& client, Standing to, Time since) {
  take_out(id, client);
  client.standing = to;
  client.since = since;
  if (to != Standing::busy) order(to).emplace(since, id);
}

void Places::enter(ClientId id, Time now) {
  const auto [it, fresh] = clients_.emplace(id, Client{Standing::fresh, now, false});
  if (fresh) order(Standing::fresh).emplace(now, id);
}

void Places::begun(ClientId id, Time now) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  // Guards against one that dribbles: its first request counts from when it was accepted, a later one from
  // its first byte.
  const Standing standing = it->second.standing;
  if (standing == Standing::fresh || standing == Standing::partial) return;
  move(id, it->second, Standing::partial, now);
}

void Places::busy(ClientId id) {
  if (const auto it = clients_.find(id); it != clients_.end()) {
    move(id, it->second, Standing::busy, it->second.since);
  }
}

void Places::rests(ClientId id, Time now, bool handed_in) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  if (handed_in && !client.asks) {
    client.asks = true;
    ++asking_;
  }
  move(id, client, client.asks ? Standing::handed_in : Standing::looked, now);
}

void Places::closes(ClientId id, Time now) {
  if (const auto it = clients_.find(id); it != clients_.end()) move(id, it->second, Standing::leaving, now);
}

void Places::leave(ClientId id) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  take_out(id, it->second);
  if (it->second.asks) --asking_;
  clients_.erase(it);
}

std::optional<ClientId> Places::least(Time now) const {
  // The longest as it is of these, if it has been so for long enough.
  const auto oldest = [&](std::initializer_list<Standing> of, Time age) -> std::optional<ClientId> {
    std::optional<std::pair<Time, ClientId>> found;
    for (const Standing standing : of) {
      const Order& all = order(standing);
      if (all.empty() || all.begin()->first + age > now) continue;
      if (!found || *all.begin() < *found) found = *all.begin();
    }
    if (!found) return std::nullopt;
    return found->second;
  };
  if (const auto id = oldest({Standing::leaving}, Time(0))) return id;
  if (const auto id = oldest({Standing::fresh, Standing::partial}, limits_.silent)) return id;
  if (const auto id = oldest({Standing::looked}, limits_.silent)) return id;
  if (const auto id = oldest({Standing::handed_in}, limits_.silent)) return id;
  return oldest({Standing::fresh}, limits_.newcomer);
}

std::optional<ClientId> Places::surplus() const {
  const Order& idle = order(Standing::handed_in);
  if (asking_ <= limits_.asking || idle.empty()) return std::nullopt;
  return idle.begin()->second;
}

}  // namespace fennellane::admission
