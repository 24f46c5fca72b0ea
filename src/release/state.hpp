// A staged release as the store has it: one value, which every relay watches and which is the order at once.
// Values, without input, output or clock. See docs/drains.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lease.hpp"

namespace fennellane::release {

using lease::Time;

enum class Phase : std::uint8_t {
  gathering,  // the relays report which build they run
  rolling,    // those of the waves up to `wave` move to `to`
  halted,     // none moves; by an operator, or since something went wrong
  back,       // those that moved return to `from`
  done,       // all have moved
  returned,   // all are back
};
const char* name_of(Phase phase);
std::optional<Phase> phase_named(const std::string& name);
inline bool is_over(Phase phase) { return phase == Phase::done || phase == Phase::returned; }

// What a relay has done since its process began; a handover takes it along.
struct Sums {
  std::uint64_t asked = 0;    // requests answered 202 or 503
  std::uint64_t refused = 0;  // of these, 503
  std::uint64_t ends = 0;     // of messages
  std::uint64_t bad = 0;      // of these, undelivered: deferred or undeliverable
  std::uint64_t late = 0;     // of these, delivered after their class's aim
  Sums& operator+=(const Sums& other);
  bool operator==(const Sums&) const = default;
};
// From `before` to `now`; one that has begun again counts from nothing.
Sums since(const Sums& before, const Sums& now);

struct State {
  std::string id;
  std::string from, to;  // names of builds
  Phase phase = Phase::gathering;
  std::vector<std::string> steps;               // how far each wave goes: "1" a count, "10%" a share
  std::uint32_t wave = 0;                       // the one under way
  std::vector<std::vector<std::string>> waves;  // relays by name; empty while gathering
  bool auto_back = true;                        // a breach of health returns all by itself
  std::string reason;                           // it was halted or returned
  Sums base;  // of the relays that had not moved, while the wave before was watched: what the last is held
              // against
  bool operator==(const State&) const = default;
};

// The relays of the waves up to the one under way.
std::vector<std::string> ordered_relays(const State& state);
// Which build this order wants of that relay; none: it stays as it is.
std::optional<std::string> wanted_build(const State& state, const std::string& relay);
// How many relays a step reaches, of so many; nothing where it is none. Shares round up.
std::optional<std::size_t> reach_of(const std::string& step, std::size_t relays);
// Empty where the steps can be taken one after the other and the last reaches all.
std::string steps_problem(const std::vector<std::string>& steps);

struct Report {  // of one relay, while a release goes on
  std::string relay, zone;
  std::string release;  // the release's id
  std::string build;
  std::uint64_t heartbeat = 0;  // grows with each report of a process
  std::string trouble;          // it was to move and could not; empty: none
  std::string waits;            // for a slot; empty: it does not
  Sums sums;
};

// The relays in waves as the steps say, zones in turn, so that no wave takes one zone alone.
std::vector<std::vector<std::string>> plan_waves(const std::vector<Report>& relays,
                                                 const std::vector<std::string>& steps);

// Holds those that have moved against the rest. Empty: nothing says that they are worse.
struct HealthTest {
  std::uint64_t min_samples = 50;  // of each side, before anything is said
  double z = 4;                    // one-sided score test of two shares, pooled: 3 in 100,000 by chance
  double difference = 0.02;        // and so much worse at least
  bool operator==(const HealthTest&) const = default;
};
std::string worse(const Sums& moved, const Sums& rest, const HealthTest& test);
// Both sides have enough for the test to tell.
bool tells(const Sums& moved, const Sums& rest, const HealthTest& test);

}  // namespace fennellane::release
