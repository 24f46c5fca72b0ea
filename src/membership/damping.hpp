// Route-flap damping (RFC 2439) of one host: each departure adds 1 to a penalty that decays exponentially,
// and a return is suppressed while the penalty is high. Only returns are delayed, never a drain.
#pragma once

#include "starlinghook/delivery.hpp"

namespace fennellane {

using starlinghook::Time;

struct DampingSettings {
  double suppress = 3;  // penalty from which on a return is suppressed
  double reuse = 1.5;   // penalty at which a suppressed host returns
  Time half_life = std::chrono::seconds(15);
  Time max_wait = std::chrono::seconds(60);  // longest suppression of a return
  bool operator==(const DampingSettings&) const = default;
};

class Damping {
 public:
  void record_departure(Time now, const DampingSettings& settings);
  // When a host that could return now may accept work: `now` or later.
  Time return_time(Time now, const DampingSettings& settings) const;
  // Whether the penalty is so low that the host's history can be dropped.
  bool decayed(Time now, const DampingSettings& settings) const { return penalty(now, settings) < 0.5; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(penalty_, at_);
  }

 private:
  double penalty(Time now, const DampingSettings& settings) const;

  double penalty_ = 0;
  Time at_{};
};

}  // namespace fennellane
