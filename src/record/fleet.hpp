// What the flight records of many relays tell together: second by second, and for each destination. A relay's
// own record shows what it did; what harms a destination is the sum. Neither files nor a clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <utility>
#include <vector>

#include "record_file.hpp"

namespace fennellane::record {

struct FleetCount {
  std::size_t began = 0;  // processes
  std::size_t taken = 0, restored = 0;
  std::size_t calls = 0, first_calls = 0;
  std::size_t delivered = 0, refused = 0, failed = 0;  // calls by their end; failed: neither
  std::size_t no_place = 0;                            // refused on a connection that had just come up
  std::size_t connects = 0;                            // calls that ended on a new connection
  std::size_t unconnected = 0;                         // of these, those that did not come up
  std::size_t rested = 0;      // calls after a failure without a success since, of the same relay: to one
                               // that may be cold
  std::size_t list_lines = 0;  // read from discovery
  std::size_t room = 0, time = 0, attempts = 0, doubt = 0;  // messages given up
};

class FleetAccount {
 public:
  // One relay's record; those of the other relays in any order.
  void add(const Contents& contents);

  // By the second since 1970.
  const std::map<std::int64_t, FleetCount>& seconds() const { return seconds_; }
  using Key = std::pair<std::uint32_t, std::int64_t>;  // destination, second
  const std::map<Key, FleetCount>& by_destination() const { return by_destination_; }
  std::size_t relays() const { return relays_; }

 private:
  std::map<std::int64_t, FleetCount> seconds_;
  std::map<Key, FleetCount> by_destination_;
  std::size_t relays_ = 0;
};

// All seconds; then, of each destination asked for, its own.
void print_fleet(const FleetAccount& account, const std::vector<std::uint32_t>& destinations,
                 std::ostream& out);

}  // namespace fennellane::record
