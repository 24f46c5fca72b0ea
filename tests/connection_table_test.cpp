// Who may stay among the clients' connections: against a model that looks through all of them at every step.
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

// What the module promises, in its plainest form.
struct Model {
  struct Client {
    int rank = 4;  // fresh; 0 leaving, 1 part of a later request, 2 looked, 3 handed in; 9 busy
    Time since{};
    bool asks = false;
  };
  std::map<ClientId, Client> clients;

  std::optional<ClientId> least(Time now) const {
    using Key = std::tuple<int, Time, ClientId>;
    std::optional<Key> best;
    for (const auto& [id, c] : clients) {
      const Time age = now - c.since;
      int claim = 9;
      if (c.rank == 0) claim = 0;
      if ((c.rank == 1 || c.rank == 4) && age >= kLimits.min_silence) claim = 1;
      if (c.rank == 2 && age >= kLimits.min_silence) claim = 2;
      if (c.rank == 3 && age >= kLimits.min_silence) claim = 3;
      if (c.rank == 4 && claim == 9 && age >= kLimits.min_age) claim = 4;
      if (claim == 9) continue;
      const Key key{claim, c.since, id};
      if (!best || key < *best) best = key;
    }
    if (!best) return std::nullopt;
    return std::get<2>(*best);
  }
  std::size_t asking() const {
    return static_cast<std::size_t>(
        std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c.second.asks; }));
  }
  std::optional<ClientId> surplus() const {
    std::optional<std::pair<Time, ClientId>> best;
    for (const auto& [id, c] : clients) {
      if (c.rank == 3 && (!best || std::pair(c.since, id) < *best)) best = std::pair(c.since, id);
    }
    if (!best || asking() <= kLimits.max_submitting) return std::nullopt;
    return best->second;
  }
};

RC_GTEST_PROP(Places, AgreeWithAModelThatLooksThroughAll, ()) {
  ConnectionTable places(kLimits);
  Model model;
  Time now{};
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 10), rc::gen::inRange(0, 120)));
  for (const auto& [what, who, ms] : steps) {
    now += milliseconds(ms);
    const auto id = static_cast<ClientId>(who);
    const auto it = model.clients.find(id);
    const bool here = it != model.clients.end();
    switch (what) {
      case 0:
        places.add(id, now);
        if (!here) model.clients[id] = {4, now, false};
        break;
      case 1:
        places.request_started(id, now);
        if (here && it->second.rank != 4 && it->second.rank != 1) it->second.rank = 1, it->second.since = now;
        break;
      case 2:
        places.mark_busy(id);
        if (here) it->second.rank = 9;
        break;
      case 3:
      case 4:
        places.mark_idle(id, now, what == 4);
        if (here) {
          it->second.asks |= what == 4;
          it->second.rank = it->second.asks ? 3 : 2;
          it->second.since = now;
        }
        break;
      case 5:
        places.mark_closing(id, now);
        if (here) it->second.rank = 0, it->second.since = now;
        break;
      case 6:
        places.remove(id);
        model.clients.erase(id);
        break;
    }
    RC_ASSERT(places.size() == model.clients.size());
    RC_ASSERT(places.submitting() == model.asking());
    RC_ASSERT(places.has_room() == (model.clients.size() + 1 < kLimits.max_connections));
    RC_ASSERT(places.eviction_candidate(now) == model.least(now));
    RC_ASSERT(places.surplus_idle() == model.surplus());
  }
}

// The first incident: callers have eight connections for this relay and open a new one for each message,
// which they keep; flooding ones look once and stay. Nobody may wait for a place, or for a connection, for
// long.
TEST(Places, ThoseWhoAskOnceAndStayNeitherUseUpThePlacesNorTheCallersConnections) {
  ConnectionTable places({16, 4, milliseconds(250), milliseconds(50)});
  ClientId next = 0;
  std::size_t most_asking = 0, no_room = 0;
  for (Time now{}; now < std::chrono::seconds(20); now += milliseconds(10)) {
    const bool floods = now.count() % 20'000 != 0;  // every second one hands in a message
    while (!places.has_room()) {
      const auto id = places.eviction_candidate(now);
      if (!id) break;
      places.remove(*id);
    }
    if (!places.has_room()) {
      ++no_room;
      continue;
    }
    places.add(next, now);
    places.mark_idle(next++, now, !floods);
    while (const auto id = places.surplus_idle()) places.remove(*id);
    most_asking = std::max(most_asking, places.submitting());
  }
  EXPECT_LE(most_asking, 4u);
  // Sixteen places and 250 ms for each: 64 a second find one, all that came here find at most two thirds.
  EXPECT_LT(no_room, 2000u / 2);
}

}  // namespace
}  // namespace fennellane::admission
