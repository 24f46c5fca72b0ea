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

struct PlacesLimits {
  std::size_t places = 0;  // for all connections
  std::size_t asking = 0;  // of these, for connections that have handed in a message, before idle ones close
  Time silent{};           // who has said nothing, or half of something, or is idle, makes way after this
  Time newcomer{};         // and where nobody else is left, who came last after this
};

class Places {
 public:
  explicit Places(const PlacesLimits& limits) : limits_(limits) {}

  // A connection's life, in any order after `enter`. Each of them is ignored for one that is not here.
  void enter(ClientId client, Time now);  // accepted; no whole request has come yet
  void begun(ClientId client, Time now);  // a part of a later request has come; more of it changes nothing
  void busy(ClientId client);             // holds its place: something has to be read or written first
  void rests(ClientId client, Time now, bool handed_in);  // between requests, the newest one answered
  void closes(ClientId client, Time now);                 // its last answer is out; it only has to be read
  void leave(ClientId client);

  std::size_t size() const { return clients_.size(); }
  std::size_t asking() const { return asking_; }  // that have handed in a message and not left
  // Whether another can be accepted and one place is left.
  bool room() const { return clients_.size() + 1 < limits_.places; }
  // The one that makes way where there is no room; none: all are of use, or came just now.
  std::optional<ClientId> least(Time now) const;
  // One that closes though there is room, since too many hold a connection for a message to come.
  std::optional<ClientId> surplus() const;

 private:
  enum class Standing : std::uint8_t { fresh, partial, looked, handed_in, leaving, busy };
  static constexpr std::size_t kOrders = 5;  // all but busy
  using Order = std::set<std::pair<Time, ClientId>>;
  struct Client {
    Standing standing = Standing::fresh;
    Time since{};
    bool asks = false;
  };
  void move(ClientId id, Client& client, Standing to, Time since);
  void take_out(ClientId id, const Client& client);
  Order& order(Standing standing) { return orders_[static_cast<std::size_t>(standing)]; }
  const Order& order(Standing standing) const { return orders_[static_cast<std::size_t>(standing)]; }

  const PlacesLimits limits_;
  std::unordered_map<ClientId, Client> clients_;
  std::array<Order, kOrders> orders_;  // the longest as they are first
  std::size_t asking_ = 0;
};

}  // namespace fennellane::admission
