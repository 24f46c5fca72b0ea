// Settings of one forwarder, shared by the tests that model many forwarders.
#pragma once

#include <chrono>
#include <cstdint>

#include "starlinghook/delivery.hpp"

namespace starlinghook::test {

// Settings of forwarder `index` of `forwarders`, with a distinct random seed per forwarder.
inline Settings fleet_settings(unsigned seed, std::uint32_t index, std::uint32_t forwarders) {
  using std::chrono::seconds;
  Settings s;
  s.seed = seed * 1000 + index;
  s.index = index;
  s.forwarders = forwarders;
  ClassSettings message_class;
  message_class.effect = Effect::safe;
  message_class.aim = seconds(2);
  message_class.deadline = seconds(20);
  message_class.late_worth = 0.3;
  s.classes = {message_class};
  s.kinds = {KindSettings{}};
  s.max_held = 1000;
  s.max_attempts = 12;
  s.connect_timeout = seconds(1);
  s.connection_idle_timeout = seconds(15);
  s.resolution = std::chrono::milliseconds(1);
  s.slow_start_time = seconds(10);
  s.slow_start_min_share = 0.16;
  s.overload_factor = 2;
  s.overload_window = seconds(2);
  return s;
}

}  // namespace starlinghook::test
