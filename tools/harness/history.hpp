// What happened in a run of many processes, and whether it was right: read by a checker that knows nothing of
// how the run was made.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consul_store.hpp"

namespace fennellane::harness {

using standin::SteadyTime;

struct Call {  // at the partner
  std::string id;
  std::string relay;
  SteadyTime at{};
};
struct Claim {  // of a relay's own log: from now on it acts in a role, or does so no more
  std::string relay, role;
  bool acts = false;
  std::uint64_t token = 0;
};

struct Outage {  // by plan, as the lab saw it: the process was surely out for so long
  std::string relay, zone;
  SteadyTime from{}, to{};
};

struct History {
  std::vector<standin::StoreEvent> store;  // locks and fenced writes, in the store's order
  std::vector<Call> calls;
  std::vector<Claim> claims;
  std::map<std::string, std::string> taken;  // by message id, the relay that answered 202
  std::set<std::string> undelivered;         // ids whose end as refused or failed a relay has told
  std::set<std::string> pays;                // ids that must not take effect twice
  std::string ended;                         // a relay that has ended though nobody asked it to
  std::size_t held = 0;                      // messages without an end when the run was over
  std::chrono::milliseconds lock_delay{};
  std::vector<Outage> outages;
  std::size_t most = 0, per_zone = 0;  // of the disruption budget; 0: it does not say
  std::size_t most_ejected = 0;        // endpoints that a verdict may let rest; 0: it does not say
  bool state_kept = true;              // false: Consul lost its state, and tokens may begin anew
};

// Empty where every rule was kept; else the first breach, in one line. The rules:
//  0. no relay ends by itself;
//  1. a role's lock has one holder at a time, and a new one comes no sooner than the lock-delay after one
//  lapsed;
//  2. no write of a session that does not hold the role was taken;
//  3. a token belongs to one relay, and tokens only grow;
//  4. every message taken on has an end: a call at the partner, or it is told as undelivered; none is held;
//  5. a message that must not take effect twice was called at most once;
//  6. no more slots of the disruption budget are held by live sessions than it says, in all and of a zone;
//  7. no more relays are out by plan at once;
//  8. no verdict lets more endpoints rest than the cap says, and none is taken of an older token than
//  another.
std::string breach(const History& history);

// The most slots held, and the most relays out by plan, at once.
struct MostOut {
  std::size_t slots = 0, outages = 0;
};
MostOut most_out(const History& history);

// From the moment a holder's lock lapsed until another's first write was taken, one span a lapse.
std::vector<std::chrono::microseconds> failovers(const History& history);

}  // namespace fennellane::harness
