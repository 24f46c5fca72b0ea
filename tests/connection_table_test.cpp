// Property tests of the connection table against a model that scans all connections at every step.
#include "connection_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace fennellane::admission {
namespace {

using std::chrono::milliseconds;

const ConnectionTableLimits kLimits{8, 3, milliseconds(250), milliseconds(50)};

// The specification, implemented by linear scans.
struct Model {
  struct Client {
    int rank = 4;  // accepted; 0 closing, 1 partial, 2 idle without message, 3 idle submitter; 9 busy
    Time since{};
    bool has_submitted = false;
  };
  std::map<ClientId, Client> clients;

  std::optional<ClientId> eviction_candidate(Time now) const {
    using Key = std::tuple<int, Time, ClientId>;
    std::optional<Key> best;
    for (const auto& [id, c] : clients) {
      const Time age = now - c.since;
      int priority = 9;
      if (c.rank == 0) priority = 0;
      if ((c.rank == 1 || c.rank == 4) && age >= kLimits.min_silence) priority = 1;
      if (c.rank == 2 && age >= kLimits.min_silence) priority = 2;
      if (c.rank == 3 && age >= kLimits.min_silence) priority = 3;
      if (c.rank == 4 && priority == 9 && age >= kLimits.min_age) priority = 4;
      if (priority == 9) continue;
      const Key key{priority, c.since, id};
      if (!best || key < *best) best = key;
    }
    if (!best) return std::nullopt;
    return std::get<2>(*best);
  }
  std::size_t submitting() const {
    return static_cast<std::size_t>(
        std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c.second.has_submitted; }));
  }
  std::optional<ClientId> surplus_idle() const {
    std::optional<std::pair<Time, ClientId>> best;
    for (const auto& [id, c] : clients) {
      if (c.rank == 3 && (!best || std::pair(c.since, id) < *best)) best = std::pair(c.since, id);
    }
    if (!best || submitting() <= kLimits.max_submitting) return std::nullopt;
    return best->second;
  }
};

RC_GTEST_PROP(ConnectionTable, MatchesAModelThatScansAllConnections, ()) {
  ConnectionTable table(kLimits);
  Model model;
  Time now{};
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 10), rc::gen::inRange(0, 120)));
  for (const auto& [operation, client, ms] : steps) {
    now += milliseconds(ms);
    const auto id = static_cast<ClientId>(client);
    const auto it = model.clients.find(id);
    const bool known = it != model.clients.end();
    switch (operation) {
      case 0:
        table.add(id, now);
        if (!known) model.clients[id] = {4, now, false};
        break;
      case 1:
        table.request_started(id, now);
        if (known && it->second.rank != 4 && it->second.rank != 1)
          it->second.rank = 1, it->second.since = now;
        break;
      case 2:
        table.mark_busy(id);
        if (known) it->second.rank = 9;
        break;
      case 3:
      case 4:
        table.mark_idle(id, now, operation == 4);
        if (known) {
          it->second.has_submitted |= operation == 4;
          it->second.rank = it->second.has_submitted ? 3 : 2;
          it->second.since = now;
        }
        break;
      case 5:
        table.mark_closing(id, now);
        if (known) it->second.rank = 0, it->second.since = now;
        break;
      case 6:
        table.remove(id);
        model.clients.erase(id);
        break;
    }
    RC_ASSERT(table.size() == model.clients.size());
    RC_ASSERT(table.submitting() == model.submitting());
    RC_ASSERT(table.has_room() == (model.clients.size() + 1 < kLimits.max_connections));
    RC_ASSERT(table.eviction_candidate(now) == model.eviction_candidate(now));
    RC_ASSERT(table.surplus_idle() == model.surplus_idle());
  }
}

// Callers have eight connections to this relay, open a new one for each message and keep it; other clients
// only check the relay and stay connected. No one may wait long for a connection slot or a connection.
TEST(ConnectionTable, ConnectionsKeptOpenExhaustNeitherSlotsNorCallersConnections) {
  ConnectionTable table({16, 4, milliseconds(250), milliseconds(50)});
  ClientId next = 0;
  std::size_t most_submitting = 0, no_room = 0;
  for (Time now{}; now < std::chrono::seconds(20); now += milliseconds(10)) {
    const bool only_checks = now.count() % 20'000 != 0;  // every second one submits a message
    while (!table.has_room()) {
      const auto id = table.eviction_candidate(now);
      if (!id) break;
      table.remove(*id);
    }
    if (!table.has_room()) {
      ++no_room;
      continue;
    }
    table.add(next, now);
    table.mark_idle(next++, now, !only_checks);
    while (const auto id = table.surplus_idle()) table.remove(*id);
    most_submitting = std::max(most_submitting, table.submitting());
  }
  EXPECT_LE(most_submitting, 4u);
  // Sixteen slots and 250 ms each admit 64 connections a second; at most two thirds of the arrivals find no
  // room.
  EXPECT_LT(no_room, 2000u / 2);
}

}  // namespace
}  // namespace fennellane::admission
