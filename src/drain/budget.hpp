// The fleet's disruption budget: how many relays may be out by plan at once, and which are. Values and what
// follows from them, without input, output or clock. See docs/drains.md.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "lease.hpp"

namespace fennellane::drain {

using lease::Time;

// As the operators set it; 0 leaves a bound out, and of those that are set the least holds.
struct Cap {
  std::uint32_t max_relays = 1;  // relays
  std::uint32_t per_zone = 0;    // of one zone
  std::uint32_t percent = 0;     // of the relays that the catalogue has, rounded down, but at least one
  bool operator==(const Cap&) const = default;
};

struct Holder {  // of a slot
  std::string session, relay, zone;
  bool operator==(const Holder&) const = default;
};

// The value of the semaphore's lock key, changed by check-and-set only.
struct Budget {
  Cap cap;
  std::vector<Holder> holders;
  bool operator==(const Budget&) const = default;
};

// What the catalogue says of the relays: those that are out without a plan use up the budget too.
struct Down {
  std::string relay, zone;  // an empty zone: it does not say
};
struct Census {
  std::uint32_t relays = 0;  // registered, those that are down included
  std::vector<Down> down;
};

// Without those whose session is over: their slots are free.
Budget pruned(Budget budget, const std::set<std::string>& live_sessions);

// Why this relay may not go out beside the holders and those that are down; empty: it may. `budget` is
// pruned; a relay that is down and holds a slot counts once, and the one that asks does not count.
std::string refusal(const Budget& budget, const Census& census, const std::string& relay,
                    const std::string& zone);

}  // namespace fennellane::drain
