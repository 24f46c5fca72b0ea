// Explores every interleaving of contenders for one role: the real Lease each, a Consul of sessions, one lock
// key and a value written under check-session, on a clock of whole ticks (one tick a second). Messages take
// up to one tick and may be lost; a contender may be paused for as long as it likes (SIGSTOP, a stall)
// between any two steps, also between the check of its lease and the send of its write; Consul may restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fennellane::lease {

struct LeaseModelBounds {
  int contenders = 2;                                                             // 1 to 3
  int ticks = 12;                                                                 // the horizon
  int ttl = 5, renew_every = 2, margin = 1, lock_delay = 2, call = 2, retry = 1;  // in ticks
  int losses = 1;                                                                 // of a message, either way
  int pauses = 1;            // of a contender, each as long as the horizon allows
  int restarts = 1;          // of Consul, which keeps its state and renews every TTL, as at a leader's change
  int crashes = 0;           // of a contender, killed and started again with a fresh lease
  int writes = 1;            // fenced writes that each contender tries while it acts
  int calls = 1;             // unfenced calls (to a partner) that each contender sends while it acts
  bool fence = true;         // false: the planted bug, a value that takes any write
  bool from_answer = false;  // true: the planted bug, a lease measured from the renew's answer, not its send
  std::size_t most_states = 20'000'000;
  std::size_t walks = 0;          // above 0: so many random walks instead of all interleavings
  std::uint64_t seed = 20261201;  // of the walks
};

struct LeaseModelResult {
  std::size_t states = 0;  // seen; of walks, the steps taken
  std::size_t transitions = 0;
  std::size_t acts = 0;            // checks that let a contender act, over all states
  bool whole = true;               // all was explored
  std::string broken;              // which rule; empty = none
  std::vector<std::string> trace;  // the shortest way there
};

// The rules: (1) whenever a lease lets its contender act, Consul holds the lock for its session with its
// token; (2) no write is taken whose session does not hold the lock with that token; (3) a call sent while
// acting lands before any other session acts.
LeaseModelResult explore(const LeaseModelBounds& bounds);

}  // namespace fennellane::lease
