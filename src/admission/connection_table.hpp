// Decides which client connections stay open: tracks the connection slots, their use, and which connection is
// evicted. Pure state machine: performs no I/O and reads no clock. Each operation costs at most O(log n) in
// the number of connections.
//
// There are two limits. All connections together must fit the relay's own slots. Connections that submit
// messages are also limited at the callers' side, which has only a fixed number for each relay (a third of
// the descriptors, according to the platform): once these are used up by connections that submitted one
// message and stay open, nobody can submit a message although the relay has free slots. The longest idle of
// them are therefore closed early, before that limit is reached.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "limits.hpp"

namespace fennellane::admission {

using ClientId = std::uint64_t;  // identifies a connection

struct ConnectionTableLimits {
  std::size_t max_connections = 0;  // for all connections
  // of these, connections that have submitted a message, before idle ones are closed
  std::size_t max_submitting = 0;
  // a connection that has sent nothing, or part of a request, or is idle may be evicted after this
  Time min_silence{};
  Time min_age{};  // if there is no other candidate, a new connection may be evicted after this
};

class ConnectionTable {
 public:
  explicit ConnectionTable(const ConnectionTableLimits& limits) : limits_(limits) {}

  // Events of a connection, in any order after `add`. Each is ignored for an unknown connection.
  void add(ClientId client, Time now);  // accepted; no complete request received yet
  // the first bytes of a later request; further bytes change nothing
  void request_started(ClientId client, Time now);
  void mark_busy(ClientId client);  // cannot be evicted: a request is being processed or an answer written
  void mark_idle(ClientId client, Time now, bool submitted);  // between requests, the last one answered
  void mark_closing(ClientId client, Time now);  // its last answer has been sent and is being read
  void remove(ClientId client);

  std::size_t size() const { return clients_.size(); }
  std::size_t submitting() const { return submitting_; }  // open connections that have submitted a message
  // Whether another connection can be accepted with one slot left over.
  bool has_room() const { return clients_.size() + 1 < limits_.max_connections; }
  // The connection to evict if there is no room; none: all are in use or too new.
  std::optional<ClientId> eviction_candidate(Time now) const;
  // A connection to close although there is room, because too many submitting connections are idle.
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
  void set_state(ClientId id, Client& client, State state, Time since);
  void remove_from_order(ClientId id, const Client& client);
  ByAge& by_age(State state) { return by_age_[static_cast<std::size_t>(state)]; }
  const ByAge& by_age(State state) const { return by_age_[static_cast<std::size_t>(state)]; }

  const ConnectionTableLimits limits_;
  std::unordered_map<ClientId, Client> clients_;
  std::array<ByAge, kOrderedStates> by_age_;  // longest in their state first
  std::size_t submitting_ = 0;
};

}  // namespace fennellane::admission
