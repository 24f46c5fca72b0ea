// Which clients' connections may stay: the places that there are, who holds one, and who makes way. Neither
// sockets nor a clock; every step costs the logarithm of the places at most.
//
// Two bounds are watched. All connections together fill the relay's own places. Those over which messages are
// handed in are held by the callers' side too, which has only so many for one relay (a third of the
// descriptors, where the platform says): once it has used them up, by connections that asked once and stay,
// nobody can hand anything in, though the relay has places left. So of these the longest idle close early,
// before that bound is met.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "limits.hpp"

namespace fennellane::admission {

using ClientId = std::uint64_t;  // of a connection

struct ConnectionTableLimits {
  std::size_t max_connections = 0;  // for all connections
  std::size_t max_submitting =
      0;               // of these, for connections that have handed in a message, before idle ones close
  Time min_silence{};  // who has said nothing, or half of something, or is idle, makes way after this
  Time min_age{};      // and where nobody else is left, who came last after this
};

class ConnectionTable {
 public:
  explicit ConnectionTable(const ConnectionTableLimits& limits) : limits_(limits) {}

  // A connection's life, in any order after `enter`. Each of them is ignored for one that is not here.
  void add(ClientId client, Time now);  // accepted; no whole request has come yet
  void request_started(ClientId client,
                       Time now);   // a part of a later request has come; more of it changes nothing
  void mark_busy(ClientId client);  // holds its place: something has to be read or written first
  void mark_idle(ClientId client, Time now, bool handed_in);  // between requests, the newest one answered
  void mark_closing(ClientId client, Time now);  // its last answer is out; it only has to be read
  void remove(ClientId client);

  std::size_t size() const { return clients_.size(); }
  std::size_t submitting() const { return submitting_; }  // that have handed in a message and not left
  // Whether another can be accepted and one place is left.
  bool has_room() const { return clients_.size() + 1 < limits_.max_connections; }
  // The one that makes way where there is no room; none: all are of use, or came just now.
  std::optional<ClientId> eviction_candidate(Time now) const;
  // One that closes though there is room, since too many hold a connection for a message to come.
  std::optional<ClientId> surplus_idle() const;

 private:
  enum class State : std::uint8_t { accepted, partial, idle_without_message, idle_submitter, closing, busy };
  static constexpr std::size_t kOrderedStates = 5;  // all but busy
  using ByAge = std::set<std::pair<Time, ClientId>>;
  struct Client {
    State state = State::accepted;
    Time since{};
    bool has_submitted = false;
  };
  void set_state(ClientId id, Client& client, State to, Time since);
  void remove_from_order(ClientId id, const Client& client);
  ByAge& by_age(State standing) { return by_age_[static_cast<std::size_t>(standing)]; }
  const ByAge& by_age(State standing) const { return by_age_[static_cast<std::size_t>(standing)]; }

  const ConnectionTableLimits limits_;
  std::unordered_map<ClientId, Client> clients_;
  std::array<ByAge, kOrderedStates> by_age_;  // the longest as they are first
  std::size_t submitting_ = 0;
};

}  // namespace fennellane::admission
