// Route-flap damping (RFC 2439) of one host: each going counts 1, the count halves with time, and a return
// waits while it is high. Only returns wait, so a drain is never delayed.
#pragma once

#include "starlinghook/delivery.hpp"

namespace fennellane {

using starlinghook::Time;

struct DampingSettings {
  double suppress = 3;  // at so much a return waits
  double reuse = 1.5;   // until it has come down to this
  Time half_life = std::chrono::seconds(15);
  Time max_wait = std::chrono::seconds(60);  // that a return may wait
  bool operator==(const DampingSettings&) const = default;
};

class Damping {
 public:
  void record_departure(Time now, const DampingSettings& settings);
  // When a host that may come back now is to take work: `now`, or later.
  Time return_time(Time now, const DampingSettings& settings) const;
  // Whether the count has come down so far that nothing is to be remembered.
  bool decayed(Time now, const DampingSettings& settings) const { return count(now, settings) < 0.5; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count_, at_);
  }

 private:
  double count(Time now, const DampingSettings& settings) const;

  double count_ = 0;
  Time at_{};
};

}  // namespace fennellane
