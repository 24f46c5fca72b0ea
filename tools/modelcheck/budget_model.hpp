// Random walks over several relays that seek slots of one disruption budget, against a model of Consul's
// sessions and of its lock key: calls and answers come late or not at all, relays are paused and killed,
// sessions lapse, Consul restarts. The decisions are the real drain::Slot's. In whole ticks of a second.
//
// The rules:
//  1. no more slots are held by live sessions than the cap, in all and in each zone;
//  2. no more relays are out by plan at once than the cap: from GoOut on for as long as its outage lasts,
//  which is
//     at most `out`; one that is paused or killed while it is out is out without a plan from then on, and
//     does not count (the catalogue does that, outside of this model).
//  3. once nothing fails any more, each relay that asks goes out.
#pragma once

#include <cstdint>
#include <string>

namespace fennellane::drain {

struct BudgetModelBounds {
  int relays = 4;
  std::uint32_t most = 2, per_zone = 1;  // zones are given in turn: a, b, a, b
  int zones = 2;
  int ticks = 120;  // of a walk
  int ttl = 20, renew_every = 5, margin = 2, out = 6, call = 2, retry = 1;
  int slack = 2;  // a session ends up to so many times its TTL after its newest renew
  int losses = 6, pauses = 4, crashes = 2, restarts = 1;  // of a walk, at most
  bool cas = true;                                        // false: a planted bug, the store takes any value
  bool lasts = true;  // false: a planted bug, outings last twice as long as the settings say
  std::uint64_t walks = 1000, seed = 20261202;
};

struct BudgetModelResult {
  std::string broken;  // the rule and the walk; empty: all were kept
  std::uint64_t walks = 0, outings = 0, lapses = 0, refusals = 0;
};

BudgetModelResult explore(const BudgetModelBounds& bounds);

}  // namespace fennellane::drain
